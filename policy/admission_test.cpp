#include "policy/admission_queue.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace cardamom {

namespace {
/// The same decisions by scans over plain lists.
struct admission_model {
  struct request {
    std::string Id;
    priority_class Class;
    bool Share = false;
  };
  std::vector<request> Waiting;
  std::vector<request> Active;
  std::vector<std::string> Preempted;
  unsigned Contended = 0;

  request *firstOf(priority_class Class) {
    auto It = std::find_if(Waiting.begin(), Waiting.end(),
                           [&](auto &R) { return R.Class == Class; });
    return It == Waiting.end() ? nullptr : &*It;
  }
  std::optional<std::string> next(unsigned Slots, unsigned Share) {
    if (Waiting.empty() || Active.size() >= Slots)
      return std::nullopt;
    priority_class High = priority_class::TrainerSecond;
    priority_class Low = priority_class::Live;
    for (const request &R : Waiting) {
      High = std::min(High, R.Class);
      Low = std::max(Low, R.Class);
    }
    const bool Shared = High != Low && ++Contended % Share == 0;
    request Chosen = *firstOf(Shared ? Low : High);
    Chosen.Share = Shared;
    std::erase_if(Waiting, [&](auto &R) { return R.Id == Chosen.Id; });
    Active.push_back(Chosen);
    return Chosen.Id;
  }
  std::optional<std::string> preempt(unsigned Slots) {
    const auto Live =
        size_t(std::count_if(Waiting.begin(), Waiting.end(), [](auto &R) {
          return R.Class == priority_class::Live;
        }));
    if (Active.size() < Slots || Live <= Preempted.size())
      return std::nullopt;
    for (auto It = Active.rbegin(); It != Active.rend(); ++It) {
      if (It->Class == priority_class::Live || It->Share ||
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
  CPPUNIT_TEST(agreesWithModel);
  CPPUNIT_TEST(refusesUnreachableDeadline);
  CPPUNIT_TEST(expiresWaitingRequests);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against lost or repeated requests, priority inversion, starvation
  // of the lowest class and needless preemption.
  void agreesWithModel() {
    const bool Holds = rc::check([](const std::vector<uint8_t> &Steps) {
      const unsigned Slots = 1 + unsigned(Steps.size() % 3);
      admission_queue Queue({.Slots = Slots,
                             .QueueCapacities = {4, 6, 6},
                             .LowestClassInterval = 3});
      admission_model Model;
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
            Model.Waiting.push_back({Id, Class});
        } else if (Step % 4 == 2) {
          RC_ASSERT(Queue.startNext(Now) == Model.next(Slots, 3));
          RC_ASSERT(Queue.pickPreemptionVictim() == Model.preempt(Slots));
        } else if (!Model.Active.empty()) {
          const size_t Index = Step / 4 % Model.Active.size();
          Queue.onFinish(Model.Active[Index].Id, true, Now);
          Model.finish(Index);
        }
        RC_ASSERT(Queue.activeCount() == Model.Active.size());
        RC_ASSERT(Queue.activeCount() <= Slots);
      }
    });
    CPPUNIT_ASSERT(Holds);
  }

  // Guards against requests that wait in the queue beyond their deadline.
  void refusesUnreachableDeadline() {
    admission_queue Queue({.Slots = 1});
    const time_point Start;
    Queue.tryEnqueue({.Id = "a"}, Start);
    Queue.startNext(Start);
    Queue.onFinish("a", true, Start + milliseconds(100));
    const admission_request Hurried = {.Id = "c",
                                       .TimeToDeadline = milliseconds(50)};
    Queue.tryEnqueue({.Id = "b"}, Start);
    Queue.startNext(Start);
    CPPUNIT_ASSERT(Queue.tryEnqueue(Hurried, Start) ==
                   admission_refusal::DeadlineUnreachable);
    CPPUNIT_ASSERT(Queue.tryEnqueue(Hurried, Start + milliseconds(60)) ==
                   admission_refusal::None);
  }

  // Guards against running work whose caller has given up.
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
