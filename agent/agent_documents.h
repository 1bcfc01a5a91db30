/// \file
/// Derives the settings of this agent's upstream from the distributed
/// documents.
///
/// Use:
///   agent_documents Documents({.Name = "engine-1", .OnChange = ...});
///   Documents.exchange().handleFrame(Frame);
///   auto Settings = Documents.settings(); // an immutable snapshot
///
/// Documents: "config" (the value of the store's object "config/current"),
/// "vms" (the response of GET /v1/vms) and "weights/<trainer>" (JSON
/// {"trainer", "model", "version", "source"}). Thread-safe.

#ifndef CARDAMOM_AGENT_AGENT_DOCUMENTS_H
#define CARDAMOM_AGENT_AGENT_DOCUMENTS_H

#include "agent/engine_client.h"
#include "config/configuration.h"
#include "inner/document_exchange.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace cardamom {

namespace wire {
class run_request;
} // namespace wire

struct upstream_settings {
  /// Null until a configuration was received.
  std::shared_ptr<const configuration> Config;
  /// Unset if the inventory does not list this upstream.
  std::optional<asset> Asset;
  bool Retiring = false;
  bool VmLeaving = false;
  bool ChecksFence = false;
  /// Newest weights of the trainer with the lowest priority value that uses
  /// this model.
  std::optional<weight_order> Weights;

  [[nodiscard]] uint64_t version() const {
    return Config ? Config->Version : 0;
  }
  /// Reason why the call must not run on this upstream; empty if it may.
  [[nodiscard]] std::string
  routeRefusalReason(const wire::run_request &Request) const;
};

struct agent_documents_options {
  /// Name of the upstream in the inventory.
  std::string Name;
  /// Called after each change, with no lock held.
  std::function<void()> OnChange;
};

class agent_documents {
public:
  explicit agent_documents(agent_documents_options Options);

  document_exchange &exchange() { return Exchange; }
  [[nodiscard]] const document_exchange &exchange() const { return Exchange; }
  [[nodiscard]] std::shared_ptr<const upstream_settings> settings() const;

private:
  struct trainer_weights {
    std::string Trainer;
    weight_order Order;
  };

  static void validate(const versioned_document &Document);
  static trainer_weights parseWeights(const std::string &Json);
  void install(const versioned_document &Document);
  [[nodiscard]] std::shared_ptr<const upstream_settings> deriveSettings() const;

  agent_documents_options Options;
  mutable std::mutex Mutex;
  std::shared_ptr<const configuration> Config;
  std::set<std::string> LeavingVms;
  std::map<std::string, weight_order> WeightsByTrainer;
  std::shared_ptr<const upstream_settings> Settings;
  document_exchange Exchange;
};

} // namespace cardamom

#endif // CARDAMOM_AGENT_AGENT_DOCUMENTS_H
