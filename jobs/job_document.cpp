#include "jobs/job_document.h"

#include "base/bounded_json.h"

#include <stdexcept>

namespace cardamom {

using nlohmann::json;

job_terms termsOf(const route &Route) {
  return {.JobTimeout = Route.JobTimeout,
          .MaxAttempts = Route.MaxAttempts,
          .ItemTtl = Route.ItemTtl,
          .SingleVersion = Route.SingleVersion};
}

static json encodeTerms(const job_terms &Terms) {
  return {{"job_timeout_ms", Terms.JobTimeout.count()},
          {"max_attempts", Terms.MaxAttempts},
          {"item_ttl_ms", Terms.ItemTtl.count()},
          {"single_version", Terms.SingleVersion}};
}

static std::optional<job_terms> decodeTerms(const json &Spec) {
  const auto Found = Spec.find("terms");
  if (Found == Spec.end())
    return std::nullopt;
  return job_terms{
      .JobTimeout = milliseconds(Found->at("job_timeout_ms").get<uint32_t>()),
      .MaxAttempts = Found->at("max_attempts"),
      .ItemTtl = milliseconds(Found->at("item_ttl_ms").get<uint32_t>()),
      .SingleVersion = Found->at("single_version")};
}

json encodeJobDocument(const job_document &Document) {
  json Spec = {{"host", Document.Host},
               {"target", Document.Target},
               {"pool", Document.Pool},
               {"submitted_at_ms", Document.SubmittedAtMs},
               {"submission", Document.Submission}};
  if (!Document.Owner.empty())
    Spec["owner"] = Document.Owner;
  if (Document.Terms)
    Spec["terms"] = encodeTerms(*Document.Terms);
  return Spec;
}

json encodeJobStub(const job_document &Document, size_t ItemCount) {
  json Spec = {
      {"host", Document.Host}, {"target", Document.Target},
      {"pool", Document.Pool}, {"submitted_at_ms", Document.SubmittedAtMs},
      {"ended", true},         {"item_count", ItemCount}};
  if (!Document.Owner.empty())
    Spec["owner"] = Document.Owner;
  return Spec;
}

bool isStub(const stored_object &Object) {
  return flagOr(Object.Spec, "ended");
}

job_document decodeJobDocument(const stored_object &Object) {
  try {
    const bool Stub = isStub(Object);
    return {
        .Host = Object.Spec.at("host"),
        .Target = Object.Spec.at("target"),
        .Pool = Object.Spec.at("pool"),
        .Owner = Object.Spec.value("owner", std::string()),
        .SubmittedAtMs = Object.Spec.at("submitted_at_ms"),
        .Terms = decodeTerms(Object.Spec),
        .Submission = Stub ? std::string()
                           : Object.Spec.at("submission").get<std::string>(),
        .ItemCount = Stub ? std::optional<uint64_t>(
                                Object.Spec.at("item_count").get<uint64_t>())
                          : std::nullopt};
  } catch (const json::exception &Error) {
    throw std::invalid_argument("stored job \"" + Object.Name +
                                "\": " + Error.what());
  }
}

job decodeStoredJob(const stored_object &Object,
                    const gateway_protocols &Protocols) {
  const job_document Document = decodeJobDocument(Object);
  job Job =
      Document.ItemCount ? job() : Protocols.DecodeJob(Document.Submission);
  Job.Id = Object.Name;
  Job.Owner = Document.Owner;
  Job.Host = Document.Host;
  Job.Target = Document.Target;
  Job.SubmittedAtMs = Document.SubmittedAtMs;
  Job.Terms = Document.Terms;
  return Job;
}

json endedStatus() { return {{"ended", true}}; }

bool isEnded(const stored_object &Object) {
  return isStub(Object) || flagOr(Object.Status, "ended");
}

} // namespace cardamom
