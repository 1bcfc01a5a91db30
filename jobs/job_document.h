/// \file
/// A job as it is kept in the store: the submission as it came, and what the
/// gateway that accepted it adds.

#ifndef CARDAMOM_JOBS_JOB_DOCUMENT_H
#define CARDAMOM_JOBS_JOB_DOCUMENT_H

#include "gateway/protocols.h"

namespace cardamom {

struct job_document {
  std::string Host;
  std::string Target;
  std::string Pool;
  uint64_t SubmittedAtMs = 0;
  /// Body of the submission.
  std::string Submission;
};

nlohmann::json encodeJobDocument(const job_document &Document);
/// Throws std::invalid_argument for an object of another form.
job_document decodeJobDocument(const stored_object &Object);
/// The job of a stored object. Throws std::invalid_argument.
job decodeStoredJob(const stored_object &Object,
                    const gateway_protocols &Protocols);

/// Status of a job that has been ended, and whether an object has it.
nlohmann::json endedStatus();
bool isEnded(const stored_object &Object);

} // namespace cardamom

#endif // CARDAMOM_JOBS_JOB_DOCUMENT_H
