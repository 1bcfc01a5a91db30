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
/// Unknown a write may or may not have taken effect, and may still do so later
/// while the version it was conditional on is the present one; the caller
/// reads back, or repeats the same conditional write.
///
/// Calls use a pool of kept-alive connections. One that fails in any way is
/// closed, so a silent connection costs one timeout. Watches have connections
/// of their own, because each holds one for as long as it waits.

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
  /// Not done, and without any effect: refused by the store (rate limit,
  /// outage, value too large), connect failure, or a read without an answer.
  Unavailable,
  /// No answer to a write: it may have taken effect.
  Unknown,
};

/// Returns a name such as "not_found", for logs and metrics.
std::string_view toString(store_status Status);

struct store_result {
  store_status Status = store_status::Unavailable;
  uint64_t Version = 0;
  std::string Value = {};
  /// For people: what the store or the connection answered.
  std::string Message = {};
  /// After Unavailable: when to try again at the earliest.
  milliseconds RetryAfter{0};
};

struct store_object {
  std::string Key;
  uint64_t Version = 0;
  std::string Value = {};
};

struct store_list_result {
  store_status Status = store_status::Unavailable;
  std::vector<store_object> Objects = {};
  std::string Message = {};
  milliseconds RetryAfter{0};
};

struct store_client_options {
  /// IP:port.
  std::string Address;
  /// Bound on connecting, and on each wait for the next bytes.
  milliseconds Timeout{2000};
};

class store_client {
public:
  /// Throws std::invalid_argument for an address that is not IP:port. Does not
  /// connect.
  explicit store_client(const store_client_options &Options);
  /// No call may be in progress.
  ~store_client();
  store_client(const store_client &) = delete;
  store_client &operator=(const store_client &) = delete;

  store_result get(std::string_view Key);
  /// Writes when the present version is IfVersion (0 = object is absent).
  store_result put(std::string_view Key, std::string_view Value,
                   uint64_t IfVersion);
  store_result remove(std::string_view Key, uint64_t IfVersion);
  /// All objects whose key starts with Prefix.
  store_list_result list(std::string_view Prefix);
  /// Waits up to Wait for a version above After.
  store_result watch(std::string_view Key, uint64_t After, milliseconds Wait);
  /// Ends watches in progress, and all later ones, with Unavailable. Returns
  /// when none is in progress; for the shutdown of the process.
  void stopWatches();
  /// The lagging list of VMs: Value is the JSON, Version its version.
  store_result vms();

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace cardamom

#endif // CARDAMOM_STORE_STORE_CLIENT_H
