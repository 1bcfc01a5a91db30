#include "gateway/fleet_view.h"

#include "base/identifier.h"
#include "base/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace cardamom {

/// More than any VM has. A larger number would make every other gateway step
/// back.
static constexpr double MaxCores = 4096;

fleet_view::fleet_view(fleet_member Self) : Self(Self) {
  Members.push_back(std::move(Self));
}

nlohmann::json fleet_view::ownSpec() const {
  return {{"address", Self.Address}, {"cores", Self.Cores}};
}

void fleet_view::update(const std::string &Name, const nlohmann::json &Spec) {
  if (Name == Self.Name)
    return;
  remove(Name);
  try {
    fleet_member Member{
        .Name = Name, .Address = Spec.at("address"), .Cores = Spec.at("cores")};
    if (!parseIpPort(Member.Address))
      throw std::invalid_argument("\"" + Member.Address + "\" is not " +
                                  std::string(IpPortFormat));
    if (!(Member.Cores > 0 && Member.Cores <= MaxCores))
      throw std::invalid_argument("number of cores out of range");
    Members.push_back(std::move(Member));
  } catch (const std::exception &Error) {
    logInfo("gateway_unreadable", {{"name", Name}, {"reason", Error.what()}});
  }
}

void fleet_view::remove(std::string_view Name) {
  if (Name == Self.Name)
    return;
  std::erase_if(
      Members, [&](const fleet_member &Member) { return Member.Name == Name; });
}

size_t fleet_view::rank(std::string_view Role) const {
  const std::vector<const fleet_member *> Ranked = rankMembers(Members, Role);
  const auto It = std::find_if(
      Ranked.begin(), Ranked.end(),
      [&](const fleet_member *Member) { return Member->Name == Self.Name; });
  return size_t(It - Ranked.begin());
}

std::vector<fleet_member> fleet_view::others(std::string_view Role) const {
  std::vector<fleet_member> Others;
  for (const fleet_member *Member : rankMembers(Members, Role))
    // An earlier process at this address may have registered under another
    // name.
    if (Member->Name != Self.Name && Member->Address != Self.Address)
      Others.push_back(*Member);
  return Others;
}

bool fleet_view::hasHigherCpuClass(std::string_view Name) const {
  double Largest = 0;
  double MemberCores = 0;
  for (const fleet_member &Member : Members) {
    Largest = std::max(Largest, Member.Cores);
    if (Member.Name == Name)
      MemberCores = Member.Cores;
  }
  return MemberCores > 0 &&
         cpuClass(MemberCores, Largest) < cpuClass(Self.Cores, Largest);
}

} // namespace cardamom
