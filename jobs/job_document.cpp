#include "jobs/job_document.h"

#include "base/bounded_json.h"

#include <stdexcept>

namespace cardamom {

using nlohmann::json;

json encodeJobDocument(const job_document &Document) {
  return {{"host", Document.Host},
          {"target", Document.Target},
          {"pool", Document.Pool},
          {"submitted_at_ms", Document.SubmittedAtMs},
          {"submission", Document.Submission}};
}

job_document decodeJobDocument(const stored_object &Object) {
  try {
    return {.Host = Object.Spec.at("host"),
            .Target = Object.Spec.at("target"),
            .Pool = Object.Spec.at("pool"),
            .SubmittedAtMs = Object.Spec.at("submitted_at_ms"),
            .Submission = Object.Spec.at("submission")};
  } catch (const json::exception &Error) {
    throw std::invalid_argument("stored job \"" + Object.Name +
                                "\": " + Error.what());
  }
}

job decodeStoredJob(const stored_object &Object,
                    const gateway_protocols &Protocols) {
  const job_document Document = decodeJobDocument(Object);
  job Job = Protocols.DecodeJob(Document.Submission);
  Job.Id = Object.Name;
  Job.Host = Document.Host;
  Job.Target = Document.Target;
  Job.SubmittedAtMs = Document.SubmittedAtMs;
  return Job;
}

json endedStatus() { return {{"ended", true}}; }

bool isEnded(const stored_object &Object) {
  return flagOr(Object.Status, "ended");
}

} // namespace cardamom
