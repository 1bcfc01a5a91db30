#include "server/caller_gate.h"

#include "base/log.h"
#include "gateway/api_key_table.h"

#include <algorithm>

namespace cardamom {

static constexpr unsigned StatusUnauthorized = 401;
static constexpr unsigned StatusUnavailable = 503;

caller_gate::caller_gate(caller_gate_options Options)
    : Options(std::move(Options)) {}

caller_gate::~caller_gate() = default;

caller_gate::caller_gate(caller_gate &&Other) noexcept = default;

void caller_gate::install(const gateway_config &Config) {
  if (!Config.Tenants) {
    Keys.reset();
    return;
  }
  Keys = std::make_unique<api_key_table>(*Config.Tenants);
  if (Keys->ambiguousKeys() > 0)
    logError("api_keys_ambiguous",
             {{"config", std::to_string(Config.Version)},
              {"keys", std::to_string(Keys->ambiguousKeys())}});
}

caller_rejection caller_gate::unconfirmed() const {
  const double Factor = 1 + (Options.Random ? Options.Random() : 0);
  return {.Status = StatusUnavailable,
          .Reason = "key_unconfirmed",
          .RetryAfter =
              milliseconds(long(Factor * double(Options.RetryAfter.count())))};
}

caller_admission caller_gate::admitKey(std::string_view ApiKey,
                                       unsigned RoutePriority,
                                       time_point ConfirmedAt,
                                       time_point Now) const {
  const auto Age = Now - ConfirmedAt;
  if (Options.RevocationBound && Age >= *Options.RevocationBound)
    return unconfirmed();
  if (const tenant *Tenant = Keys->find(ApiKey))
    return caller_identity{.Tenant = Tenant->Name,
                           .Priority =
                               Tenant->Priority.value_or(RoutePriority)};
  if (!ApiKey.empty() && Age > Options.ConfigMaxAge)
    return unconfirmed();
  return caller_rejection{.Status = StatusUnauthorized,
                          .Reason = "unknown_key"};
}

caller_admission caller_gate::admit(const route &Route,
                                    const std::optional<std::string> &ApiKey,
                                    time_point ConfirmedAt,
                                    time_point Now) const {
  const caller_identity Anonymous{.Tenant = {}, .Priority = Route.Priority};
  if (!Keys)
    return Anonymous;
  if (!Route.Public && !ApiKey)
    return caller_rejection{.Status = StatusUnauthorized,
                            .Reason = "missing_key"};
  if (!ApiKey)
    return Anonymous;
  caller_admission Admission =
      admitKey(*ApiKey, Route.Priority, ConfirmedAt, Now);
  if (Route.Public && std::holds_alternative<caller_rejection>(Admission))
    return Anonymous;
  return Admission;
}

job_call_admission
caller_gate::admitJobCall(std::span<const route *const> JobRoutes,
                          const std::optional<std::string> &ApiKey,
                          time_point ConfirmedAt, time_point Now) const {
  if (!Keys)
    return {};
  const auto IsPublic = [](const route *Route) { return Route->Public; };
  const bool OnlyPublic =
      !JobRoutes.empty() &&
      std::all_of(JobRoutes.begin(), JobRoutes.end(), IsPublic);
  if (ApiKey) {
    const caller_admission Admission = admitKey(*ApiKey, 0, ConfirmedAt, Now);
    if (const auto *Identity = std::get_if<caller_identity>(&Admission))
      return {.Caller = *Identity, .IfUnknown = {}};
    if (OnlyPublic)
      return {};
    return {.Caller = {}, .IfUnknown = std::get<caller_rejection>(Admission)};
  }
  if (std::all_of(JobRoutes.begin(), JobRoutes.end(), IsPublic))
    return {};
  return {.Caller = {},
          .IfUnknown = caller_rejection{.Status = StatusUnauthorized,
                                        .Reason = "missing_key"}};
}

} // namespace cardamom
