#include "policy/admission_queue.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace cardamom {

namespace {
/// Reference implementation that makes the same decisions by linear scans.
struct reference_queue {
  struct request {
    std::string Id;
    priority_class Class;
    bool StartedAsLowest = false;
  };
  std::vector<request> Waiting;
  std::vector<request> Active;
  std::vector<std::string> Preempted;
  unsigned ContendedStarts = 0;

  request *firstOf(priority_class Class) {
    auto It = std::find_if(Waiting.begin(), Waiting.end(),
                           [&](auto &R) { return R.Class == Class; });
    return It == Waiting.end() ? nullptr : &*It;
  }
  std::optional<std::string> startNext(unsigned Slots,
                                       unsigned LowestClassInterval) {
    if (Waiting.empty() || Active.size() >= Slots)
      return std::nullopt;
    priority_class High = priority_class::TrainerSecond;
    priority_class Low = priority_class::Live;
    for (const request &R : Waiting) {
      High = std::min(High, R.Class);
      Low = std::max(Low, R.Class);
    }
    const bool TakeLowest =
        High != Low && ++ContendedStarts % LowestClassInterval == 0;
    request Chosen = *firstOf(TakeLowest ? Low : High);
    Chosen.StartedAsLowest = TakeLowest;
    std::erase_if(Waiting, [&](auto &R) { return R.Id == Chosen.Id; });
    Active.push_back(Chosen);
    return Chosen.Id;
  }
  std::optional<std::string> pickPreemptionVictim(unsigned Slots) {
    const auto Live =
        size_t(std::count_if(Waiting.begin(), Waiting.end(), [](auto &R) {
          return R.Class == priority_class::Live;
        }));
    if (Active.size() < Slots || Live <= Preempted.size())
      return std::nullopt;
    for (auto It = Active.rbegin(); It != Active.rend(); ++It) {
      if (It->Class == priority_class::Live || It->StartedAsLowest ||
          std::count(Preempted.begin(), Preempted.end(), It->Id) > 0)
        continue;
      Preempted.push_back(It->Id);
      return It->Id;
    }
    return std::nullopt;
  }
  void finish(size_t Index) {
    std::erase(Preempted, Active[Index].Id);
    Active.erase(Active.begin() + long(Index));
  }
};
} // namespace

class admission_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(admission_test);
  CPPUNIT_TEST(agreesWithReferenceQueue);
  CPPUNIT_TEST(refusesUnreachableDeadline);
  CPPUNIT_TEST(expiresWaitingRequests);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against lost or repeated requests, priority inversion, starvation of
  // the lowest class and unnecessary preemption.
  void agreesWithReferenceQueue() {
    const bool Holds = rc::check([](const std::vector<uint8_t> &Steps) {
      const unsigned Slots = 1 + unsigned(Steps.size() % 3);
      admission_queue Queue({.Slots = Slots,
                             .QueueCapacities = {4, 6, 6},
                             .LowestClassInterval = 3});
      reference_queue Reference;
      const time_point Now;
      int NextId = 0;
      for (uint8_t Step : Steps) {
        const auto Class = priority_class(Step / 4 % 3);
        if (Step % 4 < 2) {
          const std::string Id = std::to_string(NextId++);
          const size_t Bound = Class == priority_class::Live ? 4 : 6;
          const bool Full = Queue.waitingCount(Class) >= Bound;
          const auto Refusal = Queue.tryEnqueue(
              {.Id = Id, .Class = Class, .Preemptible = true}, Now);
          RC_ASSERT((Refusal == admission_refusal::QueueFull) == Full);
          if (!Full)
            Reference.Waiting.push_back({Id, Class});
        } else if (Step % 4 == 2) {
          RC_ASSERT(Queue.startNext(Now) == Reference.startNext(Slots, 3));
          RC_ASSERT(Queue.pickPreemptionVictim() ==
                    Reference.pickPreemptionVictim(Slots));
        } else if (!Reference.Active.empty()) {
          const size_t Index = Step / 4 % Reference.Active.size();
          Queue.onFinish(Reference.Active[Index].Id, true, Now);
          Reference.finish(Index);
        }
        RC_ASSERT(Queue.activeCount() == Reference.Active.size());
        RC_ASSERT(Queue.activeCount() <= Slots);
      }
    });
    CPPUNIT_ASSERT(Holds);
  }

  // Guards against requests that stay in the queue beyond their deadline.
  void refusesUnreachableDeadline() {
    admission_queue Queue({.Slots = 1});
    const time_point Start;
    Queue.tryEnqueue({.Id = "a"}, Start);
    Queue.startNext(Start);
    Queue.onFinish("a", true, Start + milliseconds(100));
    const admission_request Urgent = {.Id = "c",
                                      .TimeToDeadline = milliseconds(50)};
    Queue.tryEnqueue({.Id = "b"}, Start);
    Queue.startNext(Start);
    CPPUNIT_ASSERT(Queue.tryEnqueue(Urgent, Start) ==
                   admission_refusal::DeadlineUnreachable);
    CPPUNIT_ASSERT(Queue.tryEnqueue(Urgent, Start + milliseconds(60)) ==
                   admission_refusal::None);
  }

  // Guards against running requests whose caller has already timed out.
  void expiresWaitingRequests() {
    admission_queue Queue({.Slots = 1});
    const time_point Start;
    Queue.tryEnqueue({.Id = "a", .TimeToDeadline = milliseconds(10)}, Start);
    Queue.tryEnqueue({.Id = "b"}, Start);
    CPPUNIT_ASSERT(Queue.removeExpired(Start + milliseconds(10)) ==
                   std::vector<std::string>{"a"});
    CPPUNIT_ASSERT_EQUAL(size_t(1), Queue.waitingCount(priority_class::Live));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(admission_test, "admission_test");

} // namespace cardamom
