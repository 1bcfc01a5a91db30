#include "policy/item_placement.h"

#include <algorithm>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <numeric>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>

namespace cardamom {

class item_placement_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(item_placement_test);
  CPPUNIT_TEST(longestItemGetsFastestReplica);
  CPPUNIT_TEST(placesSpareGroupsLast);
  CPPUNIT_TEST(longItemOfNextStepGoesBeforeShortOnes);
  CPPUNIT_TEST(skipsReplicasWithOldWeights);
  CPPUNIT_TEST(restartsItemOnlyWhereItCanRunAgain);
  CPPUNIT_TEST(movesItemOffSlowReplica);
  CPPUNIT_TEST(keepsItemWhereGainIsSmall);
  CPPUNIT_TEST(triesFormerlySlowReplicaAgain);
  CPPUNIT_TEST(finishesStepSoonerThanRoundRobin);
  CPPUNIT_TEST(placesAsExhaustiveSearch);
  CPPUNIT_TEST(movesAsExhaustiveSearch);
  CPPUNIT_TEST(leavesSlowPhase);
  CPPUNIT_TEST(staysWhereSlowPhaseIsCheaperThanMove);
  CPPUNIT_TEST(avoidingSlowPhasesShortensSteps);
  CPPUNIT_TEST(passOverThousandsOfReplicasFitsTick);
  CPPUNIT_TEST_SUITE_END();

  const time_point Now = time_point(milliseconds(100000));

  static replica_capacity replica(std::string_view Id, unsigned Free,
                                  uint64_t Version = 1) {
    return {
        .Id = Id, .FreeSlots = Free, .Slots = 8, .Versions = {{"m", Version}}};
  }
  static waiting_item item(size_t Index, double Tokens) {
    return {.Index = Index, .Model = "m", .RemainingTokens = Tokens};
  }

public:
  void longestItemGetsFastestReplica() {
    item_placement Placement({});
    Placement.onProgress("slow", 100, milliseconds(170), Now);
    Placement.onProgress("fast", 100, milliseconds(70), Now);
    const std::vector<replica_capacity> Replicas = {replica("slow", 1),
                                                    replica("fast", 1)};
    const auto Placed =
        Placement.place({item(0, 100), item(1, 5000)}, Replicas, Now);
    CPPUNIT_ASSERT_EQUAL(size_t(2), Placed.size());
    CPPUNIT_ASSERT_EQUAL(size_t(1), Placed[0].Index);
    CPPUNIT_ASSERT_EQUAL(size_t(1), Placed[0].Replica);
    CPPUNIT_ASSERT_EQUAL(size_t(0), Placed[1].Replica);
  }

  void placesSpareGroupsLast() {
    item_placement Placement({});
    waiting_item Spare = item(0, 9000);
    Spare.Spare = true;
    const std::vector<replica_capacity> Replicas = {replica("a", 1)};
    const auto Placed = Placement.place({Spare, item(1, 10)}, Replicas, Now);
    CPPUNIT_ASSERT_EQUAL(size_t(1), Placed.size());
    CPPUNIT_ASSERT_EQUAL(size_t(1), Placed[0].Index);
  }

  // Guards against steps that overlap, each of which waits until all items of
  // the one before have started.
  void longItemOfNextStepGoesBeforeShortOnes() {
    item_placement Placement({});
    waiting_item Short = item(0, 300);
    Short.DueAt = Now + milliseconds(5000);
    waiting_item Long = item(1, 6000);
    Long.DueAt = Now + milliseconds(7000);
    const std::vector<replica_capacity> Replicas = {replica("a", 1)};
    const auto Placed = Placement.place({Short, Long}, Replicas, Now);
    CPPUNIT_ASSERT_EQUAL(size_t(1), Placed[0].Index);
    // A later job's item of equal length still waits for the earlier job's.
    Long.RemainingTokens = 300;
    CPPUNIT_ASSERT_EQUAL(
        size_t(0), Placement.place({Long, Short}, Replicas, Now)[0].Index);
  }

  // Guards against samples from weights older than the job allows.
  void skipsReplicasWithOldWeights() {
    item_placement Placement({});
    waiting_item Item = item(0, 10);
    Item.MinVersion = 3;
    const std::vector<replica_capacity> Replicas = {replica("old", 8, 2)};
    CPPUNIT_ASSERT(Placement.place({Item}, Replicas, Now).empty());
    Item.MinVersion = 0;
    Item.ExactVersion = 1;
    CPPUNIT_ASSERT(Placement.place({Item}, Replicas, Now).empty());
  }

  // Guards against an item that waits for a version that no replica can give it
  // any more, and against a text that is discarded without need.
  void restartsItemOnlyWhereItCanRunAgain() {
    using replicas = std::vector<replica_capacity>;
    waiting_item Bound = item(0, 100);
    Bound.ExactVersion = 1;
    CPPUNIT_ASSERT(mustRestart(Bound, replicas{replica("a", 8, 2)}));
    CPPUNIT_ASSERT(!mustRestart(
        Bound, replicas{replica("full", 0, 1), replica("a", 8, 2)}));
    CPPUNIT_ASSERT(!mustRestart(Bound, replicas{}));
    waiting_item Newer = Bound;
    Newer.MinVersion = 3;
    CPPUNIT_ASSERT(!mustRestart(Newer, replicas{replica("a", 8, 2)}));
    CPPUNIT_ASSERT(!mustRestart(item(0, 100), replicas{replica("a", 8, 2)}));
    // While a replica changes its weights, their version is not listed.
    replica_capacity Changing = replica("changing", 0);
    Changing.Versions.clear();
    CPPUNIT_ASSERT(mustRestart(Bound, replicas{Changing, replica("a", 8, 2)}));
    CPPUNIT_ASSERT(!mustRestart(Bound, replicas{Changing}));
  }

  // Guards against a group that waits for a replica that has become slow.
  void movesItemOffSlowReplica() {
    item_placement Placement({});
    Placement.onProgress("slow", 100, milliseconds(340), Now);
    Placement.onProgress("fast", 100, milliseconds(70), Now);
    const std::vector<replica_capacity> Replicas = {replica("slow", 0),
                                                    replica("fast", 1)};
    const std::vector<running_item> Running = {
        {.Index = 0, .Model = "m", .RemainingTokens = 200, .Replica = 0},
        {.Index = 1, .Model = "m", .RemainingTokens = 2000, .Replica = 0}};
    const auto Moves = Placement.planMoves(Running, Replicas, Now);
    CPPUNIT_ASSERT_EQUAL(size_t(1), Moves.size());
    CPPUNIT_ASSERT_EQUAL(size_t(1), Moves[0].Index);
    CPPUNIT_ASSERT_EQUAL(size_t(1), Moves[0].Replica);
  }

  void keepsItemWhereGainIsSmall() {
    item_placement Placement({});
    Placement.onProgress("a", 100, milliseconds(80), Now);
    Placement.onProgress("b", 100, milliseconds(70), Now);
    const std::vector<replica_capacity> Replicas = {replica("a", 0),
                                                    replica("b", 8)};
    const std::vector<running_item> Running = {
        {.Index = 0, .Model = "m", .RemainingTokens = 5000, .Replica = 0}};
    CPPUNIT_ASSERT(Placement.planMoves(Running, Replicas, Now).empty());
  }

  // Guards against never using a replica again once it has been slow.
  void triesFormerlySlowReplicaAgain() {
    item_placement Placement({});
    Placement.onProgress("a", 100, milliseconds(400), Now);
    Placement.onProgress("b", 100, milliseconds(100), Now);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(4, Placement.msPerToken("a", Now), 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        2.5, Placement.msPerToken("a", Now + milliseconds(5000)), 0.01);
  }

  // Simulates a step of 44 items with heavy-tailed lengths on 8 replicas of
  // different speeds and compares its duration with that of round-robin
  // placement.
  void finishesStepSoonerThanRoundRobin() {
    const std::vector<double> Speeds = {0.45, 0.45, 1.1,  0.45,
                                        0.45, 1.1,  0.45, 0.45};
    const std::vector<std::string> Ids = {"0", "1", "2", "3",
                                          "4", "5", "6", "7"};
    double PlacementMs = 0;
    double RoundRobinMs = 0;
    for (unsigned Seed = 1; Seed <= 50; ++Seed) {
      std::mt19937 Random(Seed);
      std::lognormal_distribution<> Length(6.5, 0.9);
      item_placement Placement({});
      std::vector<replica_capacity> Replicas;
      for (size_t R = 0; R < Ids.size(); ++R) {
        Placement.onProgress(Ids[R], 1000, milliseconds(int(1000 * Speeds[R])),
                             Now);
        Replicas.push_back(replica(Ids[R], 8));
      }
      std::vector<waiting_item> Items;
      std::vector<double> Tokens;
      for (size_t I = 0; I < 44; ++I) {
        Tokens.push_back(Length(Random));
        Items.push_back(item(I, Tokens.back()));
      }
      double End = 0;
      for (const placed_item &P : Placement.place(Items, Replicas, Now))
        End = std::max(End, Tokens[P.Index] * Speeds[P.Replica]);
      PlacementMs += End;
      End = 0;
      for (size_t I = 0; I < Tokens.size(); ++I)
        End = std::max(End, Tokens[I] * Speeds[I % Speeds.size()]);
      RoundRobinMs += End;
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(PlacementMs / RoundRobinMs),
                           PlacementMs < 0.9 * RoundRobinMs);
  }

private:
  using random_engine = std::mt19937_64;

  static size_t below(random_engine &Random, size_t Bound) {
    return std::uniform_int_distribution<size_t>(0, Bound - 1)(Random);
  }

  /// Replicas with some models, free slots and speeds; the speeds of some are
  /// unknown or were observed long ago.
  struct random_fleet {
    std::vector<std::string> Ids;
    std::vector<replica_capacity> Replicas;
  };

  random_fleet makeFleet(random_engine &Random, item_placement &Placement,
                         size_t Count) const {
    static constexpr std::string_view Models[] = {"m", "n"};
    random_fleet Fleet;
    for (size_t I = 0; I < Count; ++I)
      Fleet.Ids.push_back("r" + std::to_string(I));
    for (const std::string &Id : Fleet.Ids) {
      replica_capacity Replica = replica(Id, unsigned(below(Random, 4)));
      Replica.SameFailureDomain = below(Random, 2) == 0;
      Replica.Versions = {{Models[below(Random, 2)], 1 + below(Random, 3)}};
      Fleet.Replicas.push_back(std::move(Replica));
      if (below(Random, 4) == 0)
        continue;
      const milliseconds Age(below(Random, 3) == 0 ? 5000 : 0);
      Placement.onProgress(Id, 100, milliseconds(50 + below(Random, 300)),
                           Now - Age);
    }
    return Fleet;
  }

  /// The placement that comparing each item with each replica yields.
  std::vector<placed_item>
  placeExhaustively(const item_placement &Placement,
                    std::vector<waiting_item> Waiting,
                    std::vector<replica_capacity> Replicas) const {
    // An unknown replica counts as of average speed.
    const double Average = Placement.msPerToken("unknown", Now);
    const auto Key = [&](const waiting_item &Item) {
      const std::chrono::duration<double, std::milli> DueAt =
          Item.DueAt.time_since_epoch();
      return std::tuple(Item.Spare,
                        DueAt.count() - Item.RemainingTokens * Average,
                        Item.Index);
    };
    std::sort(Waiting.begin(), Waiting.end(),
              [&](const waiting_item &A, const waiting_item &B) {
                return Key(A) < Key(B);
              });
    std::vector<placed_item> Placed;
    for (const waiting_item &Item : Waiting) {
      std::optional<std::pair<double, size_t>> Best;
      for (size_t I = 0; I < Replicas.size(); ++I) {
        const replica_capacity &Replica = Replicas[I];
        const auto Version = Replica.Versions.find(Item.Model);
        if (Replica.FreeSlots == 0 || Version == Replica.Versions.end() ||
            Version->second < Item.MinVersion ||
            (Item.ExactVersion != 0 && Version->second != Item.ExactVersion))
          continue;
        double Cost = Placement.msPerToken(Replica.Id, Now);
        if (Replica.SameFailureDomain)
          Cost *= 0.95;
        Cost *= 1 + 0.1 * (1 - double(Replica.FreeSlots) / Replica.Slots);
        if (Replica.Id == Item.AvoidReplica)
          Cost *= 100;
        Best = std::min(Best.value_or(std::pair(Cost, I)), std::pair(Cost, I));
      }
      if (!Best)
        continue;
      --Replicas[Best->second].FreeSlots;
      Placed.push_back({.Index = Item.Index, .Replica = Best->second});
    }
    return Placed;
  }

  /// The moves that comparing each item with each replica yields.
  std::vector<placed_item>
  moveExhaustively(const item_placement &Placement,
                   std::span<const running_item> Running,
                   std::vector<replica_capacity> Replicas) const {
    std::vector<std::tuple<double, size_t, size_t>> Candidates;
    for (const running_item &Item : Running) {
      const double RemainingMs =
          Item.RemainingTokens *
          Placement.msPerToken(Replicas[Item.Replica].Id, Now);
      for (size_t I = 0; I < Replicas.size(); ++I) {
        const auto Version = Replicas[I].Versions.find(Item.Model);
        if (Replicas[I].FreeSlots == 0 ||
            Version == Replicas[I].Versions.end() ||
            Version->second < Item.MinVersion ||
            (Item.ExactVersion != 0 && Version->second != Item.ExactVersion))
          continue;
        const double Gain =
            RemainingMs -
            Item.RemainingTokens * Placement.msPerToken(Replicas[I].Id, Now);
        if (Gain > RemainingMs * 0.3 && Gain > 150)
          Candidates.emplace_back(-Gain, Item.Index, I);
      }
    }
    std::sort(Candidates.begin(), Candidates.end());
    std::set<size_t> Moved;
    std::vector<placed_item> Moves;
    for (const auto &[Gain, Index, Replica] : Candidates) {
      if (Replicas[Replica].FreeSlots == 0 || !Moved.insert(Index).second)
        continue;
      --Replicas[Replica].FreeSlots;
      Moves.push_back({.Index = Index, .Replica = Replica});
    }
    return Moves;
  }

  static std::vector<std::pair<size_t, size_t>>
  pairs(std::span<const placed_item> Placed) {
    std::vector<std::pair<size_t, size_t>> Pairs;
    for (const placed_item &Item : Placed)
      Pairs.emplace_back(Item.Index, Item.Replica);
    return Pairs;
  }

public:
  // Guards against a faster search that places items elsewhere.
  void placesAsExhaustiveSearch() {
    for (uint64_t Seed = 1; Seed <= 300; ++Seed) {
      random_engine Random(Seed);
      item_placement Placement({});
      const random_fleet Fleet =
          makeFleet(Random, Placement, 1 + below(Random, 12));
      std::vector<waiting_item> Waiting;
      for (size_t I = 0; I < 20; ++I) {
        waiting_item Item = item(I, double(below(Random, 1000)));
        Item.Model = below(Random, 2) == 0 ? "m" : "n";
        Item.MinVersion = below(Random, 3);
        Item.ExactVersion = below(Random, 4) == 0 ? 2 : 0;
        Item.Spare = below(Random, 4) == 0;
        Item.DueAt = Now + milliseconds(1000 * below(Random, 2));
        if (below(Random, 3) == 0)
          Item.AvoidReplica = Fleet.Ids[below(Random, Fleet.Ids.size())];
        Waiting.push_back(Item);
      }
      CPPUNIT_ASSERT_MESSAGE(
          "seed " + std::to_string(Seed),
          pairs(Placement.place(Waiting, Fleet.Replicas, Now)) ==
              pairs(placeExhaustively(Placement, Waiting, Fleet.Replicas)));
    }
  }

  void movesAsExhaustiveSearch() {
    for (uint64_t Seed = 1; Seed <= 300; ++Seed) {
      random_engine Random(Seed);
      item_placement Placement({});
      const random_fleet Fleet =
          makeFleet(Random, Placement, 1 + below(Random, 12));
      std::vector<running_item> Running;
      for (size_t I = 0; I < 20; ++I)
        Running.push_back({.Index = I,
                           .Model = below(Random, 2) == 0 ? "m" : "n",
                           .MinVersion = below(Random, 3),
                           .ExactVersion = below(Random, 4) == 0 ? 2U : 0U,
                           .RemainingTokens = double(below(Random, 3000)),
                           .Replica = below(Random, Fleet.Ids.size())});
      CPPUNIT_ASSERT_MESSAGE(
          "seed " + std::to_string(Seed),
          pairs(Placement.planMoves(Running, Fleet.Replicas, Now)) ==
              pairs(moveExhaustively(Placement, Running, Fleet.Replicas)));
    }
  }

  void leavesSlowPhase() {
    item_placement Placement({});
    const std::vector<replica_capacity> Replicas = {
        replica("slow", 0), replica("unknown", 4), replica("fast", 1),
        replica("old", 8, 0)};
    const std::vector<std::optional<double>> Slowdowns = {2.5, std::nullopt, 1,
                                                          1};
    const std::vector<running_item> Pacing = {{.Index = 7,
                                               .Model = "m",
                                               .MinVersion = 1,
                                               .RemainingTokens = 900,
                                               .Replica = 0},
                                              {.Index = 8,
                                               .Model = "m",
                                               .MinVersion = 1,
                                               .RemainingTokens = 5000,
                                               .Replica = 0}};
    const auto Moves =
        Placement.planPhaseMoves(Pacing, Replicas, Slowdowns, Now);
    CPPUNIT_ASSERT(pairs(Moves) ==
                   (std::vector<std::pair<size_t, size_t>>{{8, 2}, {7, 1}}));
  }

  // Guards against items that move back and forth, or to where it is as slow.
  void staysWhereSlowPhaseIsCheaperThanMove() {
    item_placement Placement({});
    const std::vector<replica_capacity> Replicas = {replica("a", 0),
                                                    replica("b", 4)};
    const std::vector<running_item> Pacing = {{.Index = 0,
                                               .Model = "m",
                                               .MinVersion = 1,
                                               .RemainingTokens = 5000,
                                               .Replica = 0}};
    const auto Moves = [&](std::optional<double> A, std::optional<double> B) {
      const std::vector<std::optional<double>> Slowdowns = {A, B};
      return Placement.planPhaseMoves(Pacing, Replicas, Slowdowns, Now).size();
    };
    CPPUNIT_ASSERT_EQUAL(size_t(0), Moves(1, 1));
    CPPUNIT_ASSERT_EQUAL(size_t(0), Moves(1.3, 1));
    CPPUNIT_ASSERT_EQUAL(size_t(0), Moves(2.5, 2.5));
    CPPUNIT_ASSERT_EQUAL(size_t(0), Moves(std::nullopt, 1));
    CPPUNIT_ASSERT_EQUAL(size_t(1), Moves(2.5, 1));
    // The replica is usually slower than the present one.
    Placement.onProgress("a", 100, milliseconds(70), Now);
    Placement.onProgress("b", 100, milliseconds(100), Now);
    CPPUNIT_ASSERT_EQUAL(size_t(0), Moves(2.5, 1));
  }

  // Plays an item of 7 s on replicas that are slow for 0.6 s at a time, a
  // seventh of them at any moment. What trainers get: the time of the step's
  // longest item without moves, and with them, including their cost.
  void avoidingSlowPhasesShortensSteps() {
    static constexpr int ReplicaCount = 12;
    static constexpr int StepMs = 10;
    static constexpr int PhaseMs = 600;
    static constexpr double Tokens = 10500;
    static constexpr double UsualMsPerToken = 0.65;
    static constexpr int MoveCostMs = 60;
    const auto DurationMs = [&](unsigned Seed, bool Moving) {
      std::mt19937 Random(Seed);
      std::bernoulli_distribution IsSlow(0.15);
      item_placement Placement({});
      std::vector<std::string> Ids;
      Ids.reserve(ReplicaCount);
      for (int I = 0; I < ReplicaCount; ++I)
        Ids.push_back(std::to_string(I));
      std::vector<replica_capacity> Replicas;
      Replicas.reserve(ReplicaCount);
      for (const std::string &Id : Ids)
        Replicas.push_back(replica(Id, 2));
      std::vector<std::optional<double>> Slowdowns(ReplicaCount);
      double Left = Tokens;
      size_t At = 0;
      int Ms = 0;
      int BusyUntil = 0;
      for (; Left > 0; Ms += StepMs) {
        if (Ms % PhaseMs == 0)
          for (auto &Slowdown : Slowdowns)
            Slowdown = IsSlow(Random) ? 2.5 : 1;
        if (Ms < BusyUntil)
          continue;
        Left -= StepMs / (UsualMsPerToken * *Slowdowns[At]);
        // Slow phases are noticed after about two events.
        if (!Moving || Ms % PhaseMs < 100)
          continue;
        const std::vector<running_item> Pacing = {{.Index = 0,
                                                   .Model = "m",
                                                   .MinVersion = 1,
                                                   .RemainingTokens = Left,
                                                   .Replica = At}};
        for (const placed_item &Move :
             Placement.planPhaseMoves(Pacing, Replicas, Slowdowns, Now)) {
          At = Move.Replica;
          BusyUntil = Ms + MoveCostMs;
        }
      }
      return Ms;
    };
    double WithoutMs = 0;
    double WithMs = 0;
    for (unsigned Seed = 1; Seed <= 200; ++Seed) {
      WithoutMs += DurationMs(Seed, /*Moving=*/false) / 200.0;
      WithMs += DurationMs(Seed, /*Moving=*/true) / 200.0;
    }
    // Half of the time that slow phases cost.
    const double IdealMs = Tokens * UsualMsPerToken;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(WithoutMs) + " ms without, " +
                               std::to_string(WithMs) + " ms with moves",
                           WithMs - IdealMs < (WithoutMs - IdealMs) / 2);
  }

  // Guards against passes whose time grows with the product of items and
  // replicas: the scheduler plans moves every 200 ms. The load is a fleet of
  // 3,000 replicas, many of unknown speed, with as many waiting and twice as
  // many running items.
  void passOverThousandsOfReplicasFitsTick() {
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
    static constexpr std::chrono::milliseconds MaxTime{2000};
#else
    static constexpr std::chrono::milliseconds MaxTime{200};
#endif
    static constexpr size_t ReplicaCount = 3000;
    random_engine Random(1);
    item_placement Placement({});
    const random_fleet Fleet = makeFleet(Random, Placement, ReplicaCount);
    std::vector<waiting_item> Waiting;
    for (size_t I = 0; I < ReplicaCount; ++I)
      Waiting.push_back(item(I, double(below(Random, 1000))));
    std::vector<running_item> Running;
    for (size_t I = 0; I < 2 * ReplicaCount; ++I)
      Running.push_back({.Index = I,
                         .Model = "m",
                         .RemainingTokens = double(below(Random, 3000)),
                         .Replica = below(Random, ReplicaCount)});
    const auto Start = std::chrono::steady_clock::now();
    const size_t Placed = Placement.place(Waiting, Fleet.Replicas, Now).size();
    const size_t Moved =
        Placement.planMoves(Running, Fleet.Replicas, Now).size();
    const auto Time = std::chrono::steady_clock::now() - Start;
    CPPUNIT_ASSERT(Placed > 1000);
    CPPUNIT_ASSERT(Moved > 500);
    CPPUNIT_ASSERT_MESSAGE(
        std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(Time)
                .count()) +
            " ms",
        Time < MaxTime);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(item_placement_test,
                                      "item_placement_test");

} // namespace cardamom
