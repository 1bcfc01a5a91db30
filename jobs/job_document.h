/// \file
/// Encoding of a job in the store: the submission as received, and the fields
/// that the accepting gateway adds.

#ifndef CARDAMOM_JOBS_JOB_DOCUMENT_H
#define CARDAMOM_JOBS_JOB_DOCUMENT_H

#include "gateway/protocols.h"
#include "jobs/job.h"

#include <optional>
#include <string>

namespace cardamom {

struct job_document {
  std::string Host;
  std::string Target;
  std::string Pool;
  /// Name of the tenant that submitted the job; empty = none.
  std::string Owner;
  uint64_t SubmittedAtMs = 0;
  std::optional<job_terms> Terms;
  /// Unmodified body of the submission; empty in a stub.
  std::string Submission;
  /// Only in the stub of an ended job: number of its items.
  std::optional<uint64_t> ItemCount;
};

/// Terms of a job that is accepted through the route.
job_terms termsOf(const route &Route);

nlohmann::json encodeJobDocument(const job_document &Document);
/// Throws std::invalid_argument if the object is malformed.
job_document decodeJobDocument(const stored_object &Object);
/// Encodes what reads of an ended job's results need, in place of the document.
nlohmann::json encodeJobStub(const job_document &Document, size_t ItemCount);
/// Whether the object is the stub of an ended job.
bool isStub(const stored_object &Object);
/// Decodes the job of a stored object. The job of a stub has no items. Throws
/// std::invalid_argument if the object or its submission is malformed.
job decodeStoredJob(const stored_object &Object,
                    const gateway_protocols &Protocols);

/// Object status that marks a job as ended, and the check for it.
nlohmann::json endedStatus();
bool isEnded(const stored_object &Object);

} // namespace cardamom

#endif // CARDAMOM_JOBS_JOB_DOCUMENT_H
