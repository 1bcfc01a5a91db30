#include "jobs/result_log.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <random>
#include <stdexcept>
#include <string>
#include <vector>

namespace cardamom {

class result_log_promise_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(result_log_promise_test);
  CPPUNIT_TEST(twoWritersAgreeOnPositions);
  CPPUNIT_TEST(dropsQueuedResultListedByOtherWriter);
  CPPUNIT_TEST(rejectsMalformedBatch);
  CPPUNIT_TEST_SUITE_END();

  static item_result result(int Item, int Writer) {
    return {.ItemId = "item-" + std::to_string(Item),
            .Completed = true,
            .Text = "text of writer " + std::to_string(Writer),
            .Versions = {1},
            .Score = "s"};
  }

public:
  // Two schedulers, each unaware of the other, run all items of a job. Writes
  // are lost, applied without a response, or applied late. Every item must be
  // listed exactly once, and all logs must agree on every position.
  void twoWritersAgreeOnPositions() {
    constexpr int Items = 20;
    for (unsigned Seed = 1; Seed <= 300; ++Seed) {
      std::mt19937 Random(Seed);
      std::map<std::string, nlohmann::json> Store;
      std::vector<std::pair<std::string, nlohmann::json>> DelayedWrites;
      const auto Create = [&](const std::string &Name,
                              const nlohmann::json &Value) {
        return Store.try_emplace(Name, Value).second;
      };
      std::vector<result_log> Logs(2, result_log("job"));
      std::vector<std::string> WriteIds(2);
      std::vector<std::vector<item_result>> Batches(2);
      std::vector<int> QueuedItems(2, 0);
      for (int Step = 0; Step < 4000; ++Step) {
        const size_t Writer = Random() % 2;
        result_log &Log = Logs[Writer];
        if (QueuedItems[Writer] < Items && Random() % 3 == 0)
          Log.queue(
              result((QueuedItems[Writer]++ * 7 + int(Writer) * 3) % Items,
                     int(Writer)));
        if (!DelayedWrites.empty() && Random() % 5 == 0) {
          Create(DelayedWrites.back().first, DelayedWrites.back().second);
          DelayedWrites.pop_back();
        }
        if (WriteIds[Writer].empty()) {
          Batches[Writer] = Log.nextBatch(60);
          if (Batches[Writer].empty())
            continue;
          WriteIds[Writer] =
              std::to_string(Writer) + "-" + std::to_string(Step);
        }
        const std::string Name = result_log::batchName("job", Log.batchCount());
        const nlohmann::json Value =
            result_log::encodeBatch(Batches[Writer], WriteIds[Writer]);
        switch (Random() % 4) {
        case 0: // request lost
          continue;
        case 1: // applied at once or later, response lost
          if (Random() % 2 == 0)
            Create(Name, Value);
          else
            DelayedWrites.emplace_back(Name, Value);
          continue;
        default:
          break;
        }
        const bool Created = Create(Name, Value);
        const nlohmann::json &Stored = Store.at(Name);
        CPPUNIT_ASSERT(!Created || Stored == Value);
        Log.append(result_log::decodeBatch(Stored));
        WriteIds[Writer].clear();
      }
      result_log Reader("job");
      for (size_t I = 0; Store.contains(result_log::batchName("job", I)); ++I)
        Reader.append(
            result_log::decodeBatch(Store.at(result_log::batchName("job", I))));
      CPPUNIT_ASSERT_EQUAL(size_t(Items), Reader.listed().size());
      for (const result_log &Log : Logs)
        for (size_t I = 0; I < Log.listed().size(); ++I) {
          CPPUNIT_ASSERT_EQUAL(Reader.listed()[I].ItemId,
                               Log.listed()[I].ItemId);
          CPPUNIT_ASSERT_EQUAL(Reader.listed()[I].Text, Log.listed()[I].Text);
        }
    }
  }

  void dropsQueuedResultListedByOtherWriter() {
    result_log Log("job");
    Log.queue(result(1, 0));
    Log.append({result(1, 1)});
    CPPUNIT_ASSERT_EQUAL(size_t(0), Log.queuedCount());
    Log.queue(result(1, 0));
    CPPUNIT_ASSERT(Log.nextBatch(1000).empty());
  }

  void rejectsMalformedBatch() {
    CPPUNIT_ASSERT_THROW(result_log::decodeBatch({{"results", {1}}}),
                         std::invalid_argument);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(result_log_promise_test,
                                      "result_log_promise_test");

} // namespace cardamom
