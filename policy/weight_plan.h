/// \file
/// Chooses the replicas that change to new weights next.
///
/// Use:
///   for (const weight_change &Change : planWeightChanges({...}))
///     order Change.Replica to load Change.Version of Change.Model
///
/// Answers trainers that name a version every few seconds while loads slow one
/// another down. Where several models are trained each gets an equal share of
/// the replicas, and only those follow its versions, so that a version is in
/// use after a share of the loads. Of them a bounded number loads at a time,
/// those with the oldest weights first, straight to the newest version. Pure;
/// O(models x replicas x log replicas).

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
  /// Observed versions by model.
  std::map<std::string_view, uint64_t> Versions;
  /// An order is in progress, or its outcome is not known yet.
  bool OrderPending = false;
  unsigned RunningRequests = 0;
};

struct weight_change {
  /// Index into the replicas.
  size_t Replica = 0;
  std::string Model;
  uint64_t Version = 0;
};

struct weight_plan_input {
  std::span<const weight_replica> Replicas;
  /// Newest named version by model.
  const std::map<std::string, uint64_t, std::less<>> &NewestVersions;
  /// Share of the replicas that may load at the same time; at least one does.
  /// Loads share a bandwidth, so that more of them end no sooner; the share
  /// covers the time in which the end of a load is not known yet.
  double MaxConcurrentFraction = 0.35;
};

/// The model whose versions each replica follows; equal shares, and few changes
/// when a replica comes or goes. Models must not be empty.
std::vector<std::string> assignModels(std::span<const weight_replica> Replicas,
                                      std::span<const std::string> Models);

std::vector<weight_change> planWeightChanges(const weight_plan_input &Input);

} // namespace cardamom

#endif // CARDAMOM_POLICY_WEIGHT_PLAN_H
