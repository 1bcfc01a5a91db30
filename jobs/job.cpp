#include "jobs/job.h"

#include <algorithm>

namespace cardamom {

std::optional<std::string> findItemBody(const job &Job,
                                        std::string_view ItemId) {
  const auto It =
      std::find_if(Job.Items.begin(), Job.Items.end(),
                   [&](const job_item &Item) { return Item.Id == ItemId; });
  return It == Job.Items.end() ? std::nullopt : std::optional(It->Body);
}

} // namespace cardamom
