#include "policy/weight_plan.h"

#include "policy/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <set>
#include <tuple>

namespace cardamom {

namespace {
struct load_candidate {
  uint64_t VersionsBehind;
  unsigned Running;
  weight_change Change;
};
} // namespace

std::vector<size_t> modelQuotas(size_t Replicas,
                                std::span<const double> Demand) {
  static constexpr double EqualFraction = 0.5;
  const double Total = std::accumulate(Demand.begin(), Demand.end(), 0.0);
  const double EqualShare = 1 / double(Demand.size());
  std::vector<size_t> Quotas;
  std::vector<std::pair<double, size_t>> Remainders;
  size_t Assigned = 0;
  for (size_t M = 0; M < Demand.size(); ++M) {
    const double Share = Total > 0 ? EqualFraction * EqualShare +
                                         (1 - EqualFraction) * Demand[M] / Total
                                   : EqualShare;
    const double Exact = Share * double(Replicas);
    Quotas.push_back(size_t(Exact));
    Assigned += Quotas.back();
    Remainders.emplace_back(double(Quotas.back()) - Exact, M);
  }
  // The models with the largest remainders get what is left.
  std::sort(Remainders.begin(), Remainders.end());
  for (size_t I = 0; Assigned < Replicas; ++I, ++Assigned)
    ++Quotas[Remainders[I % Remainders.size()].second];
  return Quotas;
}

std::vector<std::string> trainedModels(
    std::span<const weight_replica> Replicas,
    const std::map<std::string, uint64_t, std::less<>> &NewestVersions) {
  std::set<std::string_view> Present;
  for (const weight_replica &Replica : Replicas)
    for (const auto &[Model, Version] : Replica.Versions)
      Present.insert(Model);
  std::vector<std::string> Models;
  for (const auto &[Model, Version] : NewestVersions)
    if (Present.contains(Model))
      Models.push_back(Model);
  return Models;
}

std::vector<std::string> assignModels(std::span<const weight_replica> Replicas,
                                      std::span<const std::string> Models,
                                      std::span<const size_t> Quotas) {
  struct preference {
    /// Number of models among which the replica can choose.
    size_t Choices;
    uint64_t Score;
    size_t Replica;
    size_t Model;
  };
  std::vector<preference> Preferences;
  for (size_t R = 0; R < Replicas.size(); ++R) {
    const auto Has = [&](const std::string &Model) {
      return Replicas[R].Versions.contains(Model);
    };
    const auto Choices =
        size_t(std::count_if(Models.begin(), Models.end(), Has));
    for (size_t M = 0; M < Models.size(); ++M)
      if (Has(Models[M]))
        Preferences.push_back(
            {.Choices = Choices,
             .Score = rendezvousScore(Replicas[R].Id, Models[M]),
             .Replica = R,
             .Model = M});
  }
  // Replicas with few models choose first, because the others have
  // alternatives.
  std::sort(Preferences.begin(), Preferences.end(),
            [](const preference &A, const preference &B) {
              return std::tuple(A.Choices, B.Score) <
                     std::tuple(B.Choices, A.Score);
            });
  std::vector<size_t> AssignedCount(Models.size());
  std::vector<std::string> Assigned(Replicas.size());
  // The second pass is for replicas whose models have all filled their quotas.
  for (const bool WithinQuotas : {true, false}) {
    for (const preference &Preference : Preferences) {
      size_t &Count = AssignedCount[Preference.Model];
      if (!Assigned[Preference.Replica].empty() ||
          (WithinQuotas && Count == Quotas[Preference.Model]))
        continue;
      ++Count;
      Assigned[Preference.Replica] = Models[Preference.Model];
    }
  }
  return Assigned;
}

/// Whether the replica can be ordered to load the model, now or after the order
/// that it is carrying out.
static bool canLoad(const weight_replica &Replica, std::string_view Model) {
  return Replica.Versions.contains(Model) &&
         (Replica.OrderPending || !Replica.InBackoff);
}

/// Returns the models whose versions each replica follows. These are the
/// assigned model and those that no replica could load otherwise: each of them
/// is added to one of the replicas that follow the fewest models.
static std::vector<std::set<std::string_view>>
followedModels(std::span<const weight_replica> Replicas,
               std::span<const std::string> Models,
               std::span<const std::string> Assigned) {
  std::vector<std::set<std::string_view>> Followed(Replicas.size());
  std::set<std::string_view> Loadable;
  for (size_t R = 0; R < Replicas.size(); ++R) {
    if (Assigned[R].empty())
      continue;
    Followed[R].insert(Assigned[R]);
    if (canLoad(Replicas[R], Assigned[R]))
      Loadable.insert(Assigned[R]);
  }
  for (const std::string &Model : Models) {
    if (Loadable.contains(Model))
      continue;
    const auto Cost = [&](size_t R) {
      return std::tuple(Followed[R].size(),
                        ~rendezvousScore(Replicas[R].Id, Model));
    };
    std::optional<size_t> Best;
    for (size_t R = 0; R < Replicas.size(); ++R)
      if (canLoad(Replicas[R], Model) && (!Best || Cost(R) < Cost(*Best)))
        Best = R;
    if (Best)
      Followed[*Best].insert(Model);
  }
  return Followed;
}

std::vector<weight_change> planWeightChanges(const weight_plan_input &Input) {
  const auto MaxLoads =
      std::max<long>(1, std::lround(Input.MaxConcurrentFraction *
                                    double(Input.Replicas.size())));
  const std::vector<std::string> Models =
      trainedModels(Input.Replicas, Input.NewestVersions);
  if (Models.empty())
    return {};
  std::vector<double> Demand;
  for (const std::string &Model : Models) {
    const auto Found = Input.Demand.find(Model);
    Demand.push_back(Found == Input.Demand.end() ? 0 : Found->second);
  }
  const std::vector<std::string> Assigned = assignModels(
      Input.Replicas, Models, modelQuotas(Input.Replicas.size(), Demand));
  const std::vector<std::set<std::string_view>> Followed =
      followedModels(Input.Replicas, Models, Assigned);
  long PendingOrders = 0;
  std::vector<load_candidate> Candidates;
  for (size_t I = 0; I < Input.Replicas.size(); ++I) {
    const weight_replica &Replica = Input.Replicas[I];
    if (Replica.OrderPending) {
      ++PendingOrders;
      continue;
    }
    if (Replica.InBackoff)
      continue;
    for (const auto &[Model, Version] : Replica.Versions) {
      const auto Newest = Input.NewestVersions.find(Model);
      if (Newest == Input.NewestVersions.end() || Newest->second <= Version ||
          !Followed[I].contains(Model) ||
          std::find(Input.PostponedModels.begin(), Input.PostponedModels.end(),
                    Model) != Input.PostponedModels.end())
        continue;
      Candidates.push_back({.VersionsBehind = Newest->second - Version,
                            .Running = Replica.RunningRequests,
                            .Change = {.Replica = I,
                                       .Model = Newest->first,
                                       .Version = Newest->second}});
    }
  }
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [](const load_candidate &A, const load_candidate &B) {
                     return std::tuple(B.VersionsBehind, A.Running) <
                            std::tuple(A.VersionsBehind, B.Running);
                   });
  std::vector<weight_change> Changes;
  std::set<size_t> Chosen;
  for (load_candidate &Candidate : Candidates) {
    if (PendingOrders + long(Changes.size()) >= MaxLoads)
      break;
    if (Chosen.insert(Candidate.Change.Replica).second)
      Changes.push_back(std::move(Candidate.Change));
  }
  return Changes;
}

} // namespace cardamom
