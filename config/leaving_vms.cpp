#include "config/leaving_vms.h"

#include "base/bounded_json.h"
#include "base/log.h"

#include <stdexcept>

namespace cardamom {

std::set<std::string> parseLeavingVms(std::string_view Document) {
  std::string_view Vms;
  for (const json_member &Member : splitJsonObject(Document))
    if (Member.Key == "vms")
      Vms = Member.Value;
  std::set<std::string> Leaving;
  for (const std::string_view Text : splitJsonArray(Vms)) {
    try {
      const nlohmann::json Vm = parseBoundedJson(Text);
      const auto Name = Vm.at("vm").get<std::string>();
      if (Vm.at("state").get<std::string>() == "leaving")
        Leaving.insert(Name);
    } catch (const std::exception &Error) {
      logError("vm_entry_ignored", {{"reason", Error.what()}});
    }
  }
  return Leaving;
}

} // namespace cardamom
