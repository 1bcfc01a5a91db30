/// \file
/// Measures the coefficients used in docs/CAPACITY.md: the time of an
/// operation, or the memory of an object, at several sizes.
///
/// Prints for each subject the sizes, the value at each size, and the
/// least-squares fit "fixed + slope x size".

#include "agent/run_table.h"
#include "config/configuration.h"
#include "policy/admission_queue.h"
#include "policy/router.h"
#include "policy/subset.h"

#include <cstdio>
#include <functional>
#include <malloc.h>
#include <random>
#include <string>
#include <vector>

namespace cardamom {
namespace {

/// Minimum duration of one measurement.
constexpr milliseconds MinMeasureTime{200};

/// Returns microseconds per call, averaged over at least MinMeasureTime after
/// one warm-up call.
double timeUs(const std::function<void()> &Operation) {
  Operation();
  const time_point Start = steady_clock::now();
  size_t Calls = 0;
  do {
    Operation();
    ++Calls;
  } while (steady_clock::now() - Start < MinMeasureTime);
  const std::chrono::duration<double, std::micro> Elapsed =
      steady_clock::now() - Start;
  return Elapsed.count() / double(Calls);
}

/// Bytes allocated by malloc, including mmapped blocks.
size_t allocatedBytes() {
  const struct mallinfo2 Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

void printLinearFit(const char *Subject, const char *Unit,
                    const std::vector<double> &Sizes,
                    const std::vector<double> &Values) {
  double MeanX = 0;
  double MeanY = 0;
  for (size_t I = 0; I < Sizes.size(); ++I) {
    MeanX += Sizes[I] / double(Sizes.size());
    MeanY += Values[I] / double(Sizes.size());
  }
  double Covariance = 0;
  double Variance = 0;
  for (size_t I = 0; I < Sizes.size(); ++I) {
    Covariance += (Sizes[I] - MeanX) * (Values[I] - MeanY);
    Variance += (Sizes[I] - MeanX) * (Sizes[I] - MeanX);
  }
  const double Slope = Covariance / Variance;
  std::printf("%s\n", Subject);
  for (size_t I = 0; I < Sizes.size(); ++I)
    std::printf("  size %8.0f  %12.3f %s\n", Sizes[I], Values[I], Unit);
  std::printf("  line: %.3f + %.6f x size %s\n", MeanY - Slope * MeanX, Slope,
              Unit);
}

void measureAndFit(const char *Subject, const char *Unit,
                   const std::vector<double> &Sizes,
                   const std::function<double(size_t Size)> &Measure) {
  std::vector<double> Values;
  Values.reserve(Sizes.size());
  for (double Size : Sizes)
    Values.push_back(Measure(size_t(Size)));
  printLinearFit(Subject, Unit, Sizes, Values);
}

std::string makeInventoryCsv(size_t Assets) {
  std::string Csv = "name,kind,pool,vm,region,failure_domain,inner_address,"
                    "address,concurrency\n";
  auto Address = [](size_t I, size_t Offset) {
    return "10." + std::to_string(I / 250) + "." + std::to_string(I % 250) +
           ".1:" + std::to_string(7000 + Offset);
  };
  for (size_t I = 0; I < Assets; ++I) {
    // 19 of 49 assets are entries: the ratio of 380 entries to 600 replicas.
    const bool Entry = I % 49 < 19;
    const std::string Number = std::to_string(I);
    Csv += Entry ? "entry-" : "model-";
    Csv += Number;
    Csv += Entry ? ",entry,,vm-" : ",model,notes,vm-";
    Csv += Number;
    Csv += ",r";
    Csv += std::to_string(I % 2);
    Csv += ",fd-";
    Csv += std::to_string(I % 6);
    Csv += ",";
    Csv += Address(I, 0);
    Csv += ",";
    Csv += Address(I, 1);
    Csv += ",16\n";
  }
  return Csv;
}

constexpr const char *RulesDocument =
    R"({"routes":[],"trainers":[{"name":"t1","priority":1,"model":"notes",)"
    R"("staleness_bound":2},{"name":"t2","priority":2,"model":"notes",)"
    R"("staleness_bound":2}],"upstreams":[],)"
    R"("weights":{"idle":0.5,"staleness":0.5}})";

configuration parseInventory(const std::string &Csv) {
  return parseConfiguration({.InventoryCsv = Csv, .RulesJson = RulesDocument});
}

void measureConfiguration() {
  const std::vector<double> Assets = {49, 245, 490, 980};
  measureAndFit("configuration: document bytes by assets", "bytes", Assets,
                [](size_t N) { return double(makeInventoryCsv(N).size()); });
  measureAndFit("configuration: parse and check by assets", "us", Assets,
                [](size_t N) {
                  const std::string Csv = makeInventoryCsv(N);
                  return timeUs([&] { parseInventory(Csv); });
                });
  measureAndFit("configuration: memory by assets", "bytes", Assets,
                [](size_t N) {
                  const std::string Csv = makeInventoryCsv(N);
                  const size_t Before = allocatedBytes();
                  const configuration Config = parseInventory(Csv);
                  return double(allocatedBytes() - Before);
                });
}

std::vector<upstream_view> makeViews(size_t Count) {
  std::vector<upstream_view> Views(Count);
  for (size_t I = 0; I < Count; ++I) {
    Views[I].Name = "model-" + std::to_string(I);
    Views[I].FailureDomain = "fd-" + std::to_string(I % 6);
    Views[I].Connected = true;
    Views[I].Slots = 16;
    Views[I].Running = unsigned(I % 16);
  }
  return Views;
}

void measureRouting() {
  measureAndFit("routing: pick by candidates", "us", {9, 40, 150, 600},
                [](size_t N) {
                  std::mt19937_64 Random(1);
                  std::uniform_real_distribution<double> Unit(0, 1);
                  router Router({.Random = [&] { return Unit(Random); }});
                  const std::vector<upstream_view> Views = makeViews(N);
                  const route_request Request{.Work = 400, .PrefixHash = 7};
                  time_point Now;
                  return timeUs([&] {
                    Now += milliseconds(1);
                    const std::string &Name =
                        Views[*Router.pick(Request, Views, Now)].Name;
                    Router.onDispatch(Name, Request, Now);
                    Router.onFinish(Name, Request, milliseconds(400), Now);
                  });
                });
  measureAndFit("subset: choice of 40 by agents", "us", {60, 150, 300, 600},
                [](size_t N) {
                  const std::vector<upstream_view> Views = makeViews(N);
                  std::vector<subset_candidate> Candidates;
                  Candidates.reserve(N);
                  for (const upstream_view &View : Views)
                    Candidates.push_back({View.Name, View.FailureDomain});
                  return timeUs([&] {
                    chooseSubset("entry-1", Candidates, {.Size = 40});
                  });
                });
}

void executeRun(run_table &Table, const std::string &Id, size_t Bytes,
                time_point Now) {
  const std::string Text(Bytes, 'x');
  Table.insert({.RequestId = Id, .Idempotent = true}, Now);
  Table.start(Id);
  Table.append(Id, Text, 1);
  Table.finish(Id, {}, Now);
}

void measureRunTable() {
  constexpr size_t AnswerBytes = 2000;
  const std::vector<double> Records = {100, 1000, 10000};
  measureAndFit("run table: one run by records held", "us", Records,
                [](size_t N) {
                  run_table Table({});
                  size_t Next = 0;
                  for (; Next < N; ++Next)
                    executeRun(Table, "request-" + std::to_string(Next), 0, {});
                  return timeUs([&] {
                    const std::string Id = "request-" + std::to_string(Next++);
                    executeRun(Table, Id, AnswerBytes, {});
                    Table.acknowledge(Id, {});
                  });
                });
  measureAndFit("run table: memory of acknowledged records", "bytes", Records,
                [](size_t N) {
                  const size_t Before = allocatedBytes();
                  run_table Table({});
                  for (size_t I = 0; I < N; ++I) {
                    const std::string Id = "request-" + std::to_string(I);
                    executeRun(Table, Id, AnswerBytes, {});
                    Table.acknowledge(Id, {});
                  }
                  return double(allocatedBytes() - Before);
                });
}

void measureAdmission() {
  measureAndFit("admission: offer, start and end by waiting requests", "us",
                {1, 64, 256}, [](size_t N) {
                  admission_queue Queue(
                      {.Slots = 1, .QueueCapacities = {1024, 1024, 1024}});
                  time_point Now;
                  size_t Next = 0;
                  auto EnqueueNext = [&] {
                    Queue.tryEnqueue({.Id = std::to_string(Next++),
                                      .Class = priority_class::TrainerFirst},
                                     Now);
                  };
                  for (size_t I = 0; I < N; ++I)
                    EnqueueNext();
                  std::string Active = *Queue.startNext(Now);
                  return timeUs([&] {
                    Now += milliseconds(1);
                    EnqueueNext();
                    Queue.onFinish(Active, true, Now);
                    Active = *Queue.startNext(Now);
                  });
                });
}

} // namespace
} // namespace cardamom

int main() {
  cardamom::measureConfiguration();
  cardamom::measureRouting();
  cardamom::measureRunTable();
  cardamom::measureAdmission();
  return 0;
}
