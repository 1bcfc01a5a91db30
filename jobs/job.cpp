#include "jobs/job.h"

#include "base/percent_encoding.h"

#include <algorithm>

namespace cardamom {

std::string qualifiedJobId(std::string_view Owner, std::string_view Id) {
  if (Owner.empty() && Id.find(':') == std::string_view::npos)
    return std::string(Id);
  // The encoded owner contains no colon, so that the first one ends it.
  return percentEncode(Owner) + ':' + std::string(Id);
}

std::optional<std::string> findItemBody(const job &Job,
                                        std::string_view ItemId) {
  const auto It =
      std::find_if(Job.Items.begin(), Job.Items.end(),
                   [&](const job_item &Item) { return Item.Id == ItemId; });
  return It == Job.Items.end() ? std::nullopt : std::optional(It->Body);
}

} // namespace cardamom
