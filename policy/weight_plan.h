/// \file
/// Chooses the replicas that load new weights next.
///
/// Usage:
///   for (const weight_change &Change : planWeightChanges({...}))
///     order replica Replicas[Change.Replica] to load Change.Version of
///     Change.Model
///
/// Trainers announce a version every few seconds, and concurrent loads slow
/// each other down. If several models are trained, each gets a share of the
/// replicas, and only these follow its versions, so that a version is in use
/// after fewer loads. A model that no replica has, such as one of another
/// service, gets no share. A model whose share is less than one replica, or
/// whose replicas are all in backoff, is followed by a replica of another model
/// as well. A bounded number of replicas load at a time, those with the oldest
/// weights first. Each loads the newest version and skips the versions in
/// between. Pure functions; O(models x replicas x log replicas).

#ifndef CARDAMOM_POLICY_WEIGHT_PLAN_H
#define CARDAMOM_POLICY_WEIGHT_PLAN_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

struct weight_replica {
  std::string_view Id;
  /// Observed weight version by model. The replica cannot load other models.
  std::map<std::string_view, uint64_t> Versions;
  /// Whether a load order is in progress or its outcome is not known yet.
  bool OrderPending = false;
  /// Whether the replica gets no new orders because calls to it failed.
  bool InBackoff = false;
  unsigned RunningRequests = 0;
};

struct weight_change {
  /// Index into weight_plan_input::Replicas.
  size_t Replica = 0;
  std::string Model;
  uint64_t Version = 0;
};

struct weight_plan_input {
  std::span<const weight_replica> Replicas;
  /// Newest announced version by model.
  const std::map<std::string, uint64_t, std::less<>> &NewestVersions;
  /// Output tokens that trainers ask of each model in a step; a model that is
  /// absent has no demand.
  std::map<std::string, double, std::less<>> Demand;
  /// Models whose loads are postponed; they count when models are assigned.
  std::span<const std::string> PostponedModels = {};
  /// Fraction of the replicas that may load at the same time; at least one may.
  /// Loads share bandwidth, so more of them would not finish earlier. The
  /// fraction leaves room for loads that have ended but still count, because no
  /// report has shown their end yet.
  double MaxConcurrentFraction = 0.35;
};

/// Returns how many of Replicas each model gets. Half of them are shared
/// equally, so that no model starves when its demand rises, and half by
/// demand. Without demand, all shares are equal. Demand must not be empty.
std::vector<size_t> modelQuotas(size_t Replicas,
                                std::span<const double> Demand);

/// Returns the models of NewestVersions that at least one of Replicas has.
std::vector<std::string> trainedModels(
    std::span<const weight_replica> Replicas,
    const std::map<std::string, uint64_t, std::less<>> &NewestVersions);

/// Returns the model whose versions each replica follows, Quotas[I] replicas
/// for Models[I] in total, or more if they have no other of Models. It is empty
/// for a replica that has none of them. Few replicas change their model when
/// one is added or removed. The sum of Quotas must not be below the number of
/// Replicas.
std::vector<std::string> assignModels(std::span<const weight_replica> Replicas,
                                      std::span<const std::string> Models,
                                      std::span<const size_t> Quotas);

std::vector<weight_change> planWeightChanges(const weight_plan_input &Input);

} // namespace cardamom

#endif // CARDAMOM_POLICY_WEIGHT_PLAN_H
