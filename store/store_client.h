/// \file
/// Client of the platform's object API.
///
/// Use:
///   store_client Store({.Address = "127.0.0.1:7000"});
///   store_result R = Store.get("config/current");
///   R = Store.put("config/current", Body, R.Version);
///
/// Every call is one HTTP request with a timeout, thread-safe, and never
/// throws for failures of the store: they are states of the result. After
/// Unknown a write may or may not have taken effect; the caller reads back.

#ifndef CARDAMOM_STORE_STORE_CLIENT_H
#define CARDAMOM_STORE_STORE_CLIENT_H

#include "base/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

enum class store_status {
  Ok,
  NotFound,
  /// Conditional write lost; Version is the present one.
  Conflict,
  /// A watch ended without a change.
  Unchanged,
  /// Refused before any effect (rate limit, outage, connect failure).
  Unavailable,
  /// No answer: a write may have taken effect.
  Unknown,
};

struct store_result {
  store_status Status = store_status::Unavailable;
  uint64_t Version = 0;
  std::string Value;
  std::string Message;
  milliseconds RetryAfter{0};
};

struct store_object {
  std::string Key;
  uint64_t Version = 0;
  std::string Value;
};

struct store_client_options {
  /// IP:port.
  std::string Address;
  milliseconds Timeout{2000};
};

class store_client {
public:
  explicit store_client(store_client_options Options);
  ~store_client();

  store_result get(std::string_view Key);
  /// Writes when the present version is IfVersion (0 = object is absent).
  store_result put(std::string_view Key, std::string_view Value,
                   uint64_t IfVersion);
  store_result remove(std::string_view Key, uint64_t IfVersion);
  /// Waits up to Wait for a version above After.
  store_result watch(std::string_view Key, uint64_t After, milliseconds Wait);
  /// The lagging list of VMs: Value is the JSON, Version its version.
  store_result vms();

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace cardamom

#endif // CARDAMOM_STORE_STORE_CLIENT_H
