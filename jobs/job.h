/// \file
/// A trainer's batch job: items that are generated, scored, and listed as
/// results.

#ifndef CARDAMOM_JOBS_JOB_H
#define CARDAMOM_JOBS_JOB_H

#include "base/time.h"
#include "http/http_message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

/// The call that scores the finished text of an item.
struct scoring_call {
  std::string RequestId;
  std::string Host;
  std::string Path;
  std::string Body;
};

struct job_item {
  std::string Id;
  std::string Path;
  header_list Headers;
  std::string Body;
  /// Items of one group share their prompt.
  std::string Group;
  /// Prompt tokens plus the maximum number of output tokens.
  uint64_t MaxTotalTokens = 0;
  /// The client's estimate of the output tokens; 0 = unknown.
  uint64_t ExpectedTokens = 0;
  std::optional<scoring_call> Scoring;
};

/// What the route of a job said when the job was accepted. The job keeps it
/// even if the configuration changes or loses the route.
struct job_terms {
  /// Time from submission until the results are due.
  milliseconds JobTimeout{0};
  /// Number of failures after which an item or its scoring call is given up.
  unsigned MaxAttempts = 1;
  /// Age at which an unfinished item may be abandoned; zero = never.
  milliseconds ItemTtl{0};
  /// All tokens of a sample must come from one weight version.
  bool SingleVersion = false;
};

struct job {
  /// Qualified by the owner; see qualifiedJobId().
  std::string Id;
  /// Name of the tenant that submitted the job; empty = none.
  std::string Owner;
  std::string Host;
  /// HTTP target of the submission; selects the route.
  std::string Target;
  /// Time of the first submission, in Unix milliseconds.
  uint64_t SubmittedAtMs = 0;
  std::string Model;
  uint64_t Step = 0;
  /// Oldest version of the weights that may generate the job's tokens.
  uint64_t MinVersion = 0;
  /// Number of complete groups that the trainer waits for; 0 = all.
  uint64_t TargetGroups = 0;
  /// Absent if the job was stored by a version without this field.
  std::optional<job_terms> Terms;
  std::vector<job_item> Items;
};

/// Name of a job inside the system: its id, preceded by the owner if it has one
/// and by a colon if the id could be taken for such a name. Different pairs of
/// owner and id have different names, so that jobs of different tenants never
/// meet, and no id names a job of another owner.
std::string qualifiedJobId(std::string_view Owner, std::string_view Id);

/// Returns the item's decoded body, or nothing if the job has no such item.
std::optional<std::string> findItemBody(const job &Job,
                                        std::string_view ItemId);

/// The result of one item. Immutable once listed.
struct item_result {
  std::string ItemId;
  /// False if the item was given up.
  bool Completed = false;
  /// Data of all events, separated by line feeds.
  std::string Text;
  /// Versions of the weights that generated the text, ascending.
  std::vector<uint64_t> Versions;
  /// Signature of the response to the scoring call.
  std::string Score;
};

} // namespace cardamom

#endif // CARDAMOM_JOBS_JOB_H
