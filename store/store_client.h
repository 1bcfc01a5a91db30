/// \file
/// Synchronous client of the platform's object API.
///
/// Use:
///   store_client Store({.Address = "127.0.0.1:7000"});
///   store_result R = Store.get("config/current");
///   R = Store.put("config/current", Body, R.Version);
///
/// Thread-safe. Every call is one HTTP request with a timeout. Failures of the
/// store are reported in the status of the result, never as exceptions. After
/// Unknown a write may or may not have taken effect, and may still take effect
/// later as long as the version that it is conditional on is current; the
/// caller reads the object again, or repeats the same conditional write.
///
/// Calls use a pool of persistent connections. A connection on which a call
/// fails in any way is closed, so an unresponsive connection costs one timeout.
/// Watches use a separate pool, because each occupies a connection for as long
/// as it waits.

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
  /// The condition of a write did not hold; Version is the current one.
  Conflict,
  /// A watch timed out without a change.
  Unchanged,
  /// The call failed and had no effect: refused by the store (rate limit,
  /// outage, value too large), connection failure, or a read without a
  /// response.
  Unavailable,
  /// No valid response to a write: it may have taken effect.
  Unknown,
};

/// Returns a name such as "not_found", for logs and metrics.
std::string_view toString(store_status Status);

struct store_result {
  store_status Status = store_status::Unavailable;
  uint64_t Version = 0;
  std::string Value = {};
  /// Human-readable description of the failure.
  std::string Message = {};
  /// After Unavailable: minimum delay before a retry.
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
  /// "IP:port".
  std::string Address;
  /// Timeout for connecting and for each read or write.
  milliseconds Timeout{2000};
};

class store_client {
public:
  /// Does not connect. Throws std::invalid_argument for a malformed address.
  explicit store_client(const store_client_options &Options);
  /// No call may be in progress.
  ~store_client();
  store_client(const store_client &) = delete;
  store_client &operator=(const store_client &) = delete;

  store_result get(std::string_view Key);
  /// Writes if the current version is IfVersion (0 = the object is absent).
  store_result put(std::string_view Key, std::string_view Value,
                   uint64_t IfVersion);
  store_result remove(std::string_view Key, uint64_t IfVersion);
  /// Returns all objects whose key starts with Prefix.
  store_list_result list(std::string_view Prefix);
  /// Waits up to Wait for a version greater than After.
  store_result watch(std::string_view Key, uint64_t After, milliseconds Wait);
  /// Ends watches in progress, and all later ones, with Unavailable. Returns
  /// when none is in progress. Intended for process shutdown.
  void stopWatches();
  /// Reads the list of VMs, which lags behind their actual state. Value is the
  /// JSON document, Version its version.
  store_result vms();

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace cardamom

#endif // CARDAMOM_STORE_STORE_CLIENT_H
