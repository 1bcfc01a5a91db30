/// \file
/// The validated configuration: the inventory and the rules.
///
/// Use:
///   // Throws config_error with the file, the line or field, the value and the
///   // allowed values.
///   configuration C =
///       parseConfiguration({.InventoryCsv = ..., .RulesJson = ...});
///
/// parseConfigurationDocument() reads the value of the store's object
/// "config/current": {"edit_id", "author", "inventory", "rules", "history"}
/// (see config/configuration_document.h).
///
/// Limits: 4096 inventory rows; 900 KB for the inventory and the rules
/// together; 900 KB for the document. Parsing takes O(n log n) in the size of
/// the input.

#ifndef CARDAMOM_CONFIG_CONFIGURATION_H
#define CARDAMOM_CONFIG_CONFIGURATION_H

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

inline constexpr size_t MaxInventoryRows = 4096;

/// The store accepts values of up to 1 MB; the difference leaves room for
/// escape sequences of the JSON encoding.
inline constexpr size_t MaxConfigurationBytes = 900000;

enum class asset_kind { Entry, Model, Plain };

/// Returns "entry", "model" or "plain", as written in the inventory.
std::string_view toString(asset_kind Kind);

/// One row of the inventory. CSV header:
/// name,kind,pool,vm,region,failure_domain,inner_address,address,concurrency
struct asset {
  std::string Name;
  asset_kind Kind = asset_kind::Plain;
  /// Name of the model or plain service; empty for entries.
  std::string Pool;
  std::string Vm;
  std::string Region;
  std::string FailureDomain;
  /// Address (IP:port) of the inner server of the entry, or of the agent on the
  /// upstream's VM.
  std::string InnerAddress;
  /// HTTP address (IP:port) of the entry or the upstream.
  std::string Address;
  /// Maximum number of concurrent requests of the upstream (1 to 4096).
  unsigned Concurrency = 1;

  bool operator==(const asset &) const = default;
};

/// Calls of a route that must not be retried.
struct non_idempotent_call {
  std::string Method;
  /// Matches this path and all of its subpaths.
  std::string PathPrefix;

  bool operator==(const non_idempotent_call &) const = default;
};

struct route_rule {
  std::string Prefix;
  std::string Pool;
  milliseconds Timeout{30000};
  std::vector<non_idempotent_call> NonIdempotent;
};

struct trainer_rule {
  std::string Name;
  /// 1 is the highest priority.
  unsigned Priority = 1;
  std::string Model;
  /// Largest accepted difference between the trainer's weight version and the
  /// oldest version in a sample.
  uint64_t StalenessBound = 1;
  /// Pool of the scoring service; if empty, samples are not scored.
  std::string Scorer;
};

/// Rules for a single upstream, identified by name.
struct upstream_rule {
  std::string Name;
  bool Retiring = false;
  /// Whether the engine rejects orders with an outdated fencing token.
  bool ChecksFence = false;
};

struct configuration {
  /// Version of the object in the store; 0 if parsed from files.
  uint64_t Version = 0;
  std::string EditId;
  std::string Author;
  std::vector<asset> Assets;
  std::vector<route_rule> Routes;
  std::vector<trainer_rule> Trainers;
  std::vector<upstream_rule> Upstreams;
  /// Relative costs of one second of trainer idle time and of one version of
  /// staleness; both are in [0, 1] and their sum is 1.
  double IdleWeight = 0.5;
  double StalenessWeight = 0.5;

  /// These search linearly and return null if there is no match.
  [[nodiscard]] const asset *findAsset(std::string_view Name) const;
  [[nodiscard]] const trainer_rule *findTrainer(std::string_view Name) const;
  [[nodiscard]] const upstream_rule *findUpstream(std::string_view Name) const;
  /// Returns the route with the longest matching prefix, or null. A prefix
  /// matches whole path segments only.
  [[nodiscard]] const route_rule *findRoute(std::string_view Path) const;
  [[nodiscard]] std::vector<const asset *>
  assetsInPool(std::string_view Pool) const;
  [[nodiscard]] bool isRetiring(std::string_view Name) const;
};

/// Returns whether a call of the route may be retried. A call with any method
/// counts as idempotent unless a non_idempotent rule of the route matches it.
/// Path is normalised before the comparison: the query is removed, percent
/// escapes are decoded, and empty, "." and ".." segments are resolved. The
/// upstream may do the same, so a differently spelled path of a non-idempotent
/// call must not become retryable.
bool isIdempotent(const route_rule &Route, std::string_view Method,
                  std::string_view Path);

/// Invalid input. what() has the form "FILE:LINE: field \"F\": value \"V\":
/// allowed is ...". LINE is present for the inventory and for malformed JSON;
/// in rules F is the path of the field, such as "routes[0].timeout_ms".
class config_error : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

struct configuration_source {
  std::string_view InventoryName = "inventory.csv";
  std::string_view InventoryCsv;
  std::string_view RulesName = "rules.json";
  std::string_view RulesJson;
};

/// Throws config_error if any part of the input is invalid.
configuration parseConfiguration(const configuration_source &Source);
/// Throws config_error. Version is that of the store's object.
configuration parseConfigurationDocument(std::string_view Json,
                                         uint64_t Version);

/// Returns the assets as inventory CSV, which parseConfiguration() parses to
/// the same assets.
std::string formatInventory(const std::vector<asset> &Assets);

} // namespace cardamom

#endif // CARDAMOM_CONFIG_CONFIGURATION_H
