/// \file
/// Slopes for docs/CAPACITY.md: the cost of one operation, or the memory of one
/// object, at several sizes, and the line fitted through them.
///
/// Prints for each subject: the sizes, the figure at each size, and
/// "fixed + slope x size" by least squares.

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

/// Time that one measurement runs at least.
constexpr milliseconds MeasureTime{200};

/// Repeats the operation for MeasureTime; returns microseconds per call.
double timeUs(const std::function<void()> &Operation) {
  Operation();
  const time_point Start = steady_clock::now();
  size_t Calls = 0;
  do {
    Operation();
    ++Calls;
  } while (steady_clock::now() - Start < MeasureTime);
  const std::chrono::duration<double, std::micro> Elapsed =
      steady_clock::now() - Start;
  return Elapsed.count() / double(Calls);
}

/// Bytes that malloc has given out, mapped blocks included.
size_t allocatedBytes() {
  const struct mallinfo2 Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

void printLine(const char *Subject, const char *Unit,
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

void measure(const char *Subject, const char *Unit,
             const std::vector<double> &Sizes,
             const std::function<double(size_t Size)> &Figure) {
  std::vector<double> Values;
  Values.reserve(Sizes.size());
  for (double Size : Sizes)
    Values.push_back(Figure(size_t(Size)));
  printLine(Subject, Unit, Sizes, Values);
}

std::string inventory(size_t Assets) {
  std::string Csv = "name,kind,pool,vm,region,failure_domain,inner_address,"
                    "address,concurrency\n";
  auto Address = [](size_t I, size_t Offset) {
    return "10." + std::to_string(I / 250) + "." + std::to_string(I % 250) +
           ".1:" + std::to_string(7000 + Offset);
  };
  for (size_t I = 0; I < Assets; ++I) {
    // 380 entries to 600 replicas.
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

constexpr const char *Rules =
    R"({"routes":[],"trainers":[{"name":"t1","priority":1,"model":"notes",)"
    R"("staleness_bound":2},{"name":"t2","priority":2,"model":"notes",)"
    R"("staleness_bound":2}],"upstreams":[],)"
    R"("weights":{"idle":0.5,"staleness":0.5}})";

configuration parse(const std::string &Csv) {
  return parseConfiguration({.InventoryCsv = Csv, .RulesJson = Rules});
}

void measureConfiguration() {
  const std::vector<double> Assets = {49, 245, 490, 980};
  measure("configuration: document bytes by assets", "bytes", Assets,
          [](size_t N) { return double(inventory(N).size()); });
  measure("configuration: parse and check by assets", "us", Assets,
          [](size_t N) {
            const std::string Csv = inventory(N);
            return timeUs([&] { parse(Csv); });
          });
  measure("configuration: memory by assets", "bytes", Assets, [](size_t N) {
    const std::string Csv = inventory(N);
    const size_t Before = allocatedBytes();
    const configuration C = parse(Csv);
    return double(allocatedBytes() - Before);
  });
}

std::vector<upstream_view> views(size_t Count) {
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
  measure("routing: pick by candidates", "us", {9, 40, 150, 600}, [](size_t N) {
    std::mt19937_64 Random(1);
    std::uniform_real_distribution<double> Unit(0, 1);
    router Router({.Random = [&] { return Unit(Random); }});
    const std::vector<upstream_view> Views = views(N);
    const route_request Request{.Work = 400, .PrefixHash = 7};
    time_point Now;
    return timeUs([&] {
      Now += milliseconds(1);
      const std::string &Name = Views[*Router.pick(Request, Views, Now)].Name;
      Router.onDispatch(Name, Request, Now);
      Router.onFinish(Name, Request, milliseconds(400), Now);
    });
  });
  measure("subset: choice of 40 by agents", "us", {60, 150, 300, 600},
          [](size_t N) {
            const std::vector<upstream_view> Views = views(N);
            std::vector<subset_candidate> Candidates;
            Candidates.reserve(N);
            for (const upstream_view &View : Views)
              Candidates.push_back({View.Name, View.FailureDomain});
            return timeUs(
                [&] { chooseSubset("entry-1", Candidates, {.Size = 40}); });
          });
}

void runOnce(run_table &Table, const std::string &Id, size_t Bytes,
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
  measure("run table: one run by records held", "us", Records, [](size_t N) {
    run_table Table({});
    size_t Next = 0;
    for (; Next < N; ++Next)
      runOnce(Table, "request-" + std::to_string(Next), 0, {});
    return timeUs([&] {
      const std::string Id = "request-" + std::to_string(Next++);
      runOnce(Table, Id, AnswerBytes, {});
      Table.acknowledge(Id, {});
    });
  });
  measure("run table: memory of acknowledged records", "bytes", Records,
          [](size_t N) {
            const size_t Before = allocatedBytes();
            run_table Table({});
            for (size_t I = 0; I < N; ++I) {
              const std::string Id = "request-" + std::to_string(I);
              runOnce(Table, Id, AnswerBytes, {});
              Table.acknowledge(Id, {});
            }
            return double(allocatedBytes() - Before);
          });
}

void measureAdmission() {
  measure("admission: offer, start and end by waiting requests", "us",
          {1, 64, 256}, [](size_t N) {
            admission_queue Queue(
                {.Slots = 1, .QueueCapacities = {1024, 1024, 1024}});
            time_point Now;
            size_t Next = 0;
            auto Offer = [&] {
              Queue.tryEnqueue({.Id = std::to_string(Next++),
                                .Class = priority_class::TrainerFirst},
                               Now);
            };
            for (size_t I = 0; I < N; ++I)
              Offer();
            std::string Active = *Queue.startNext(Now);
            return timeUs([&] {
              Now += milliseconds(1);
              Offer();
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
