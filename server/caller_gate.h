/// \file
/// Decides who a caller is, and whether it may use a route. It is the only
/// component that does, for all kinds of calls.
///
/// Use:
///   caller_gate Gate({.ConfigMaxAge = ..., .Random = ...});
///   Gate.install(Config);
///   const caller_admission Admission =
///       Gate.admit(Route, Request.ApiKey, ConfirmedAt, Now);
///   if (const auto *Identity = std::get_if<caller_identity>(&Admission)) ...
///
/// A process that has lost the store goes on with the keys that it knows,
/// because rejecting valid callers is worse than accepting a key that was
/// withdrawn a short time ago. It does not call a key unknown then: the key may
/// be newer than its configuration, and another process may know it. With
/// RevocationBound set, it accepts no key that it has not been able to confirm
/// for that long. Reads no clock and does no I/O.

#ifndef CARDAMOM_SERVER_CALLER_GATE_H
#define CARDAMOM_SERVER_CALLER_GATE_H

#include "base/time.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace cardamom {

class api_key_table;
struct gateway_config;
struct route;

struct caller_identity {
  /// Name of the tenant; empty = none.
  std::string Tenant;
  /// 0 is the highest priority.
  unsigned Priority = 0;
};

struct caller_rejection {
  unsigned Status = 0;
  std::string_view Reason;
  /// Zero = no hint.
  milliseconds RetryAfter{0};
};

using caller_admission = std::variant<caller_identity, caller_rejection>;

/// Who makes a call on a batch job. Whether the caller can access the job is
/// known only once the job is found.
struct job_call_admission {
  caller_identity Caller;
  /// The response if there is no such job that the caller can access;
  /// nullopt = that of a job that does not exist.
  std::optional<caller_rejection> IfUnknown;
};

struct caller_gate_options {
  /// Age up to which the configuration counts as confirmed by the store.
  milliseconds ConfigMaxAge{2000};
  /// Age of the configuration from which on no key is accepted; nullopt = keys
  /// are accepted at any age.
  std::optional<milliseconds> RevocationBound;
  /// Retry-After while keys cannot be confirmed is this value to twice as much.
  /// Another process can serve the caller at once; it spreads the retries.
  milliseconds RetryAfter{50};
  /// Uniform random number in [0, 1).
  std::function<double()> Random;
};

class caller_gate {
public:
  explicit caller_gate(caller_gate_options Options);
  ~caller_gate();
  caller_gate(caller_gate &&Other) noexcept;

  void install(const gateway_config &Config);

  /// ApiKey: nullopt if the caller has sent none, empty if it has sent several
  /// different ones. ConfirmedAt: when the store last confirmed the
  /// configuration.
  [[nodiscard]] caller_admission admit(const route &Route,
                                       const std::optional<std::string> &ApiKey,
                                       time_point ConfirmedAt,
                                       time_point Now) const;
  /// Identifies the caller of a batch job. The routes of the moment do not say
  /// which jobs it can access, because a job outlives its route: JobRoutes, the
  /// routes for jobs on the call's host, only determine the response if there
  /// is no such job.
  [[nodiscard]] job_call_admission
  admitJobCall(std::span<const route *const> JobRoutes,
               const std::optional<std::string> &ApiKey, time_point ConfirmedAt,
               time_point Now) const;

private:
  [[nodiscard]] caller_admission admitKey(std::string_view ApiKey,
                                          unsigned RoutePriority,
                                          time_point ConfirmedAt,
                                          time_point Now) const;
  [[nodiscard]] caller_rejection unconfirmed() const;

  caller_gate_options Options;
  /// Null if the configuration has no tenants.
  std::unique_ptr<api_key_table> Keys;
};

} // namespace cardamom

#endif // CARDAMOM_SERVER_CALLER_GATE_H
