/// \file
/// The operators' whole input, checked: the inventory and the rules.
///
/// Use:
///   configuration C = parseConfiguration({.InventoryCsv = ..., .RulesJson =
///   ...}); // throws config_error with file, line or field, value and what is
///          // allowed
///
/// parseConfigurationDocument() reads the value of the store's object
/// "config/current": {"edit_id", "author", "inventory", "rules", "history"}
/// (see config/configuration_document.h).
///
/// Limits: 4096 inventory rows, and 900 KB for inventory and rules together,
/// or for the document. Parsing takes O(n log n) in the size of the input.

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

/// The store takes values up to 1 MB; the rest is left for the escapes of the
/// JSON encoding.
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
  /// IP:port of the inner protocol of the entry, or of the agent on the VM.
  std::string InnerAddress;
  /// IP:port of HTTP: of the entry itself, or of the upstream.
  std::string Address;
  /// Requests that the upstream runs at once (1 to 4096).
  unsigned Concurrency = 1;

  bool operator==(const asset &) const = default;
};

/// Calls of a route that may not be repeated.
struct non_idempotent_call {
  std::string Method;
  /// Path of the calls; it covers itself and everything below it.
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
  /// 1 comes first.
  unsigned Priority = 1;
  std::string Model;
  /// Largest accepted difference between the trainer's weight version and the
  /// oldest version in a sample.
  uint64_t StalenessBound = 1;
  /// Pool of the scoring service; empty = samples are not scored.
  std::string Scorer;
};

/// Rules that apply to one upstream by name.
struct upstream_rule {
  std::string Name;
  bool Retiring = false;
  /// Whether the engine refuses orders with an old fencing number.
  bool ChecksFence = false;
};

struct configuration {
  /// Version of the store's object; 0 for a file that is not applied.
  uint64_t Version = 0;
  std::string EditId;
  std::string Author;
  std::vector<asset> Assets;
  std::vector<route_rule> Routes;
  std::vector<trainer_rule> Trainers;
  std::vector<upstream_rule> Upstreams;
  /// Cost of a second of trainer idle time and of one version of staleness;
  /// both in [0, 1], and their sum is 1.
  double IdleWeight = 0.5;
  double StalenessWeight = 0.5;

  /// Linear look-ups; null when there is none.
  [[nodiscard]] const asset *findAsset(std::string_view Name) const;
  [[nodiscard]] const trainer_rule *findTrainer(std::string_view Name) const;
  [[nodiscard]] const upstream_rule *findUpstream(std::string_view Name) const;
  /// The route with the longest prefix of Path that ends at a '/' or at the
  /// end of Path.
  [[nodiscard]] const route_rule *findRoute(std::string_view Path) const;
  [[nodiscard]] std::vector<const asset *>
  assetsInPool(std::string_view Pool) const;
  [[nodiscard]] bool isRetiring(std::string_view Name) const;
};

/// Returns whether a call of the route may be repeated. GET, HEAD, OPTIONS,
/// PUT and DELETE are idempotent unless a rule says otherwise; other methods
/// are taken as not idempotent only where a rule says so.
/// Path is compared without its query, percent-decoded, and with empty, "."
/// and ".." segments resolved, because the upstream may read it that way: an
/// unusual spelling of a deposit must not make it repeatable.
bool isIdempotent(const route_rule &Route, std::string_view Method,
                  std::string_view Path);

/// A refused input: what() reads "FILE:LINE: field \"F\": value \"V\": allowed
/// is ...". LINE is given for the inventory and for malformed JSON; in rules F
/// is the path of the field, such as "routes[0].timeout_ms".
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

/// Throws config_error; nothing of a bad input is used.
configuration parseConfiguration(const configuration_source &Source);
/// Throws config_error. Version is that of the store's object.
configuration parseConfigurationDocument(std::string_view Json,
                                         uint64_t Version);

/// The assets as an inventory that parseConfiguration() reads back unchanged.
std::string formatInventory(const std::vector<asset> &Assets);

} // namespace cardamom

#endif // CARDAMOM_CONFIG_CONFIGURATION_H
