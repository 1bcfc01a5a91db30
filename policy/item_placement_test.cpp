#include "policy/item_placement.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <numeric>
#include <random>

namespace cardamom {

class item_placement_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(item_placement_test);
  CPPUNIT_TEST(longestItemGetsFastestReplica);
  CPPUNIT_TEST(placesSpareGroupsLast);
  CPPUNIT_TEST(skipsReplicasWithOldWeights);
  CPPUNIT_TEST(movesItemOffSlowReplica);
  CPPUNIT_TEST(keepsItemWhereGainIsSmall);
  CPPUNIT_TEST(triesFormerlySlowReplicaAgain);
  CPPUNIT_TEST(finishesStepSoonerThanRoundRobin);
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
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(item_placement_test,
                                      "item_placement_test");

} // namespace cardamom
