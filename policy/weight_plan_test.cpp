#include "policy/weight_plan.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace cardamom {

class weight_plan_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(weight_plan_test);
  CPPUNIT_TEST(loadsOldestFirstAndFewAtATime);
  CPPUNIT_TEST(countsLoadsInProgress);
  CPPUNIT_TEST(postponesLoadsOfNamedModels);
  CPPUNIT_TEST(sharesReplicasAmongModels);
  CPPUNIT_TEST(sharesReplicasByDemand);
  CPPUNIT_TEST(changesFewAssignmentsWhenReplicaIsRemoved);
  CPPUNIT_TEST(keepsUpWithTrainers);
  CPPUNIT_TEST(loadsEachModelSomewhereWithFewReplicas);
  CPPUNIT_TEST(loadsModelElsewhereDuringBackoff);
  CPPUNIT_TEST(modelsOfOtherServicesGetNoShare);
  CPPUNIT_TEST(replicasFollowModelsThatTheyHave);
  CPPUNIT_TEST_SUITE_END();

  using version_map = std::map<std::string, uint64_t, std::less<>>;

  std::vector<std::string> Ids;
  std::vector<weight_replica> replicas(size_t Count, uint64_t Version) {
    Ids.clear();
    for (size_t I = 0; I < Count; ++I)
      Ids.push_back("replica-" + std::to_string(I));
    std::vector<weight_replica> Replicas;
    for (const std::string &Id : Ids)
      Replicas.push_back(
          {.Id = Id, .Versions = {{"m0", Version}, {"m1", Version}}});
    return Replicas;
  }

  static std::vector<size_t> equalQuotas(size_t Replicas, size_t Models) {
    return modelQuotas(Replicas, std::vector<double>(Models, 0));
  }

  /// Carries out the planned loads until no more are planned. Returns their
  /// number.
  static unsigned loadAll(std::vector<weight_replica> &Replicas,
                          const weight_plan_input &Input) {
    unsigned Loads = 0;
    for (auto Plan = planWeightChanges(Input); !Plan.empty();
         Plan = planWeightChanges(Input)) {
      for (const weight_change &Change : Plan) {
        CPPUNIT_ASSERT(!Replicas[Change.Replica].InBackoff);
        Replicas[Change.Replica].Versions.find(Change.Model)->second =
            Change.Version;
        CPPUNIT_ASSERT(++Loads < 1000);
      }
    }
    return Loads;
  }

  /// Returns how many replicas have that version of the model or a newer one.
  static size_t replicasWith(std::span<const weight_replica> Replicas,
                             std::string_view Model, uint64_t Version) {
    return size_t(std::count_if(
        Replicas.begin(), Replicas.end(), [&](const weight_replica &Replica) {
          const auto It = Replica.Versions.find(Model);
          return It != Replica.Versions.end() && It->second >= Version;
        }));
  }

public:
  void loadsOldestFirstAndFewAtATime() {
    auto Replicas = replicas(9, 3);
    Replicas[4].Versions["m0"] = 1;
    const version_map NewestVersions = {{"m0", 4}};
    const auto Plan = planWeightChanges(
        {.Replicas = Replicas, .NewestVersions = NewestVersions});
    CPPUNIT_ASSERT_EQUAL(size_t(3), Plan.size());
    CPPUNIT_ASSERT_EQUAL(size_t(4), Plan[0].Replica);
    CPPUNIT_ASSERT_EQUAL(uint64_t(4), Plan[0].Version);
  }

  void countsLoadsInProgress() {
    auto Replicas = replicas(9, 3);
    Replicas[0].OrderPending = Replicas[1].OrderPending =
        Replicas[2].OrderPending = true;
    const version_map NewestVersions = {{"m0", 4}};
    CPPUNIT_ASSERT(planWeightChanges(
                       {.Replicas = Replicas, .NewestVersions = NewestVersions})
                       .empty());
  }

  // Guards against loads that keep a step's items from starting, and against a
  // different assignment of models while loads are postponed.
  void postponesLoadsOfNamedModels() {
    const auto Replicas = replicas(8, 3);
    const version_map NewestVersions = {{"m0", 4}, {"m1", 4}};
    const std::vector<std::string> Postponed = {"m0"};
    const std::vector<std::string> Models = {"m0", "m1"};
    const auto Assigned = assignModels(
        Replicas, Models, equalQuotas(Replicas.size(), Models.size()));
    const auto Plan = planWeightChanges({.Replicas = Replicas,
                                         .NewestVersions = NewestVersions,
                                         .PostponedModels = Postponed});
    CPPUNIT_ASSERT(!Plan.empty());
    for (const weight_change &Change : Plan) {
      CPPUNIT_ASSERT_EQUAL(std::string("m1"), Change.Model);
      CPPUNIT_ASSERT_EQUAL(std::string("m1"), Assigned[Change.Replica]);
    }
  }

  // Guards against every replica loading the versions of both models, which
  // would double the number of loads.
  void sharesReplicasAmongModels() {
    const auto Replicas = replicas(8, 1);
    const std::vector<std::string> Models = {"m0", "m1"};
    const auto Assigned = assignModels(
        Replicas, Models, equalQuotas(Replicas.size(), Models.size()));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(4),
                         std::count(Assigned.begin(), Assigned.end(), "m0"));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(4),
                         std::count(Assigned.begin(), Assigned.end(), "m1"));
  }

  // Guards against replicas that idle for a model with short samples, while
  // samples of another model wait.
  void sharesReplicasByDemand() {
    using quotas = std::vector<size_t>;
    CPPUNIT_ASSERT(modelQuotas(37, std::vector<double>{8, 20, 21}) ==
                   quotas({9, 14, 14}));
    CPPUNIT_ASSERT(modelQuotas(8, std::vector<double>{0, 5}) == quotas({2, 6}));
    CPPUNIT_ASSERT(modelQuotas(7, std::vector<double>{0, 0, 0}) ==
                   quotas({3, 2, 2}));
    CPPUNIT_ASSERT(modelQuotas(0, std::vector<double>{1, 2}) == quotas({0, 0}));
    CPPUNIT_ASSERT(modelQuotas(1, std::vector<double>{1, 2}) == quotas({0, 1}));
  }

  void changesFewAssignmentsWhenReplicaIsRemoved() {
    const auto Replicas = replicas(40, 1);
    const std::vector<std::string> Models = {"m0", "m1"};
    const auto Before = assignModels(
        Replicas, Models, equalQuotas(Replicas.size(), Models.size()));
    const std::vector<weight_replica> Fewer(Replicas.begin(),
                                            Replicas.end() - 1);
    const auto After =
        assignModels(Fewer, Models, equalQuotas(Fewer.size(), Models.size()));
    unsigned Changed = 0;
    for (size_t I = 0; I < After.size(); ++I)
      Changed += After[I] != Before[I];
    CPPUNIT_ASSERT(Changed <= 2);
  }

  // Simulates two trainers that announce a version every 4 s while loads share
  // a bandwidth of 2 loads per 0.9 s. Guards against a job that finds few
  // replicas with recent weights: at each announcement at least a third of the
  // replicas must have the previous version.
  void keepsUpWithTrainers() {
    auto Replicas = replicas(8, 1);
    version_map NewestVersions = {{"m0", 1}, {"m1", 1}};
    struct load {
      weight_change Change;
      double RemainingMs;
    };
    std::vector<load> Loads;
    for (int Ms = 0; Ms < 40000; Ms += 50) {
      if (Ms % 4000 == 0 && Ms > 0) {
        for (auto &[Model, Version] : NewestVersions) {
          size_t Fresh = 0;
          for (const weight_replica &Replica : Replicas)
            Fresh += Replica.Versions.at(Model) >= Version;
          CPPUNIT_ASSERT_MESSAGE(Model + " at " + std::to_string(Ms),
                                 Fresh * 3 >= Replicas.size() || Ms == 4000);
          ++Version;
        }
      }
      const double ProgressMs =
          50.0 * std::min(1.0, 2.0 / double(Loads.size()));
      std::erase_if(Loads, [&](load &Load) {
        Load.RemainingMs -= ProgressMs;
        if (Load.RemainingMs > 0)
          return false;
        weight_replica &Replica = Replicas[Load.Change.Replica];
        Replica.OrderPending = false;
        Replica.Versions[NewestVersions.find(Load.Change.Model)->first] =
            Load.Change.Version;
        return true;
      });
      for (weight_change &Change : planWeightChanges(
               {.Replicas = Replicas, .NewestVersions = NewestVersions})) {
        Replicas[Change.Replica].OrderPending = true;
        Loads.push_back({.Change = std::move(Change), .RemainingMs = 900});
      }
    }
  }

  // Guards against a model that no replica follows because its share is less
  // than one replica, so that its trainer never gets another sample.
  void loadsEachModelSomewhereWithFewReplicas() {
    const version_map NewestVersions = {
        {"m0", 2}, {"m1", 3}, {"m2", 4}, {"m3", 5}};
    for (size_t Count = 1; Count <= 5; ++Count) {
      for (const double Demand : {0, 1, 50}) {
        auto Replicas = replicas(Count, 1);
        for (weight_replica &Replica : Replicas)
          Replica.Versions = {{"m0", 1}, {"m1", 1}, {"m2", 1}, {"m3", 1}};
        const unsigned Loads =
            loadAll(Replicas, {.Replicas = Replicas,
                               .NewestVersions = NewestVersions,
                               .Demand = {{"m2", Demand}, {"m3", 1}}});
        for (const auto &[Model, Version] : NewestVersions)
          CPPUNIT_ASSERT_MESSAGE(Model + " on " + std::to_string(Count),
                                 replicasWith(Replicas, Model, Version) >= 1);
        // A replica follows several models only if a model needs it.
        CPPUNIT_ASSERT(Loads <= Count + NewestVersions.size() - 1);
      }
    }
  }

  // Guards against a model whose only replica fails calls, while the replicas
  // of other models could run its samples.
  void loadsModelElsewhereDuringBackoff() {
    const version_map NewestVersions = {{"m0", 4}, {"m1", 4}};
    for (const size_t Failing : {0, 1}) {
      auto Replicas = replicas(2, 3);
      Replicas[Failing].InBackoff = true;
      loadAll(Replicas,
              {.Replicas = Replicas, .NewestVersions = NewestVersions});
      CPPUNIT_ASSERT_EQUAL(size_t(1), replicasWith(Replicas, "m0", 4));
      CPPUNIT_ASSERT_EQUAL(size_t(1), replicasWith(Replicas, "m1", 4));
      // Both models have their own replica again.
      Replicas[Failing].InBackoff = false;
      CPPUNIT_ASSERT_EQUAL(
          1U, loadAll(Replicas, {.Replicas = Replicas,
                                 .NewestVersions = NewestVersions}));
    }
  }

  // Guards against replicas that stay at their first weights because they are
  // assigned a model of another service.
  void modelsOfOtherServicesGetNoShare() {
    auto Replicas = replicas(8, 1);
    for (weight_replica &Replica : Replicas)
      Replica.Versions.erase("m1");
    const version_map NewestVersions = {{"a0", 9}, {"m0", 2}, {"m1", 9}};
    CPPUNIT_ASSERT(trainedModels(Replicas, NewestVersions) ==
                   std::vector<std::string>{"m0"});
    CPPUNIT_ASSERT_EQUAL(8U,
                         loadAll(Replicas, {.Replicas = Replicas,
                                            .NewestVersions = NewestVersions,
                                            .Demand = {{"m1", 100}}}));
    CPPUNIT_ASSERT_EQUAL(size_t(8), replicasWith(Replicas, "m0", 2));
  }

  // Guards against a model that loses its only replicas to another model that
  // has many.
  void replicasFollowModelsThatTheyHave() {
    auto Replicas = replicas(8, 1);
    for (size_t I = 0; I < 6; ++I)
      Replicas[I].Versions.erase("m1");
    Replicas[7].Versions.clear();
    const std::vector<std::string> Models = {"m0", "m1"};
    const auto Assigned =
        assignModels(Replicas, Models, std::vector<size_t>{4, 4});
    for (size_t I = 0; I < 6; ++I)
      CPPUNIT_ASSERT_EQUAL(std::string("m0"), Assigned[I]);
    CPPUNIT_ASSERT_EQUAL(std::string("m1"), Assigned[6]);
    CPPUNIT_ASSERT(Assigned[7].empty());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(weight_plan_test, "weight_plan_test");

} // namespace cardamom
