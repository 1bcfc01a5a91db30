#include "base/metrics.h"

#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <sstream>
#include <tuple>

namespace cardamom {

namespace bh = boost::histogram;

// 120 bins over eight decades give bin edges 17% apart.
static constexpr unsigned HistogramBins = 120;
static constexpr double HistogramLowest = 0.01;
static constexpr double HistogramHighest = 1e6;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using log_histogram = decltype(bh::make_histogram(
    log_axis(HistogramBins, HistogramLowest, HistogramHighest)));

struct metric_histogram::state {
  mutable std::mutex Mutex;
  log_histogram Bins = bh::make_histogram(
      log_axis(HistogramBins, HistogramLowest, HistogramHighest));
  uint64_t Count = 0;
  double Sum = 0;
};

metric_histogram::metric_histogram() : State(std::make_unique<state>()) {}
metric_histogram::~metric_histogram() = default;

void metric_histogram::record(double Value) {
  std::lock_guard Lock(State->Mutex);
  State->Bins(Value);
  ++State->Count;
  State->Sum += Value;
}

double metric_histogram::quantile(double Q) const {
  std::lock_guard Lock(State->Mutex);
  if (State->Count == 0)
    return 0;
  const double TargetCount = Q * static_cast<double>(State->Count);
  double CumulativeCount = 0;
  for (auto &&Bin : bh::indexed(State->Bins, bh::coverage::all)) {
    CumulativeCount += *Bin;
    if (CumulativeCount >= TargetCount && CumulativeCount > 0)
      return Bin.bin().upper();
  }
  return HistogramHighest;
}

uint64_t metric_histogram::count() const {
  std::lock_guard Lock(State->Mutex);
  return State->Count;
}

double metric_histogram::sum() const {
  std::lock_guard Lock(State->Mutex);
  return State->Sum;
}

namespace {
struct metric_key {
  std::string Name;
  std::string Label;
  std::string LabelValue;
  bool operator<(const metric_key &Other) const {
    return std::tie(Name, Label, LabelValue) <
           std::tie(Other.Name, Other.Label, Other.LabelValue);
  }
};
} // namespace

struct metrics::state {
  mutable std::mutex Mutex;
  std::map<metric_key, metric_value> Counters;
  std::map<metric_key, metric_value> Gauges;
  std::map<std::string, metric_histogram, std::less<>> Histograms;
};

metrics::metrics() : State(std::make_unique<state>()) {}
metrics::~metrics() = default;

metrics &metrics::get() {
  static metrics Registry;
  return Registry;
}

metric_value &metrics::counter(std::string_view Name, std::string_view Label,
                               std::string_view LabelValue) {
  std::lock_guard Lock(State->Mutex);
  return State->Counters[{std::string(Name), std::string(Label),
                          std::string(LabelValue)}];
}

metric_value &metrics::gauge(std::string_view Name, std::string_view Label,
                             std::string_view LabelValue) {
  std::lock_guard Lock(State->Mutex);
  return State->Gauges[{std::string(Name), std::string(Label),
                        std::string(LabelValue)}];
}

metric_histogram &metrics::histogram(std::string_view Name) {
  std::lock_guard Lock(State->Mutex);
  return State->Histograms[std::string(Name)];
}

static std::string escapeLabelValue(std::string_view Value) {
  std::string Out;
  for (char C : Value) {
    if (C == '\n') {
      Out += "\\n";
      continue;
    }
    if (C == '"' || C == '\\')
      Out += '\\';
    Out += C;
  }
  return Out;
}

static void writeValues(std::ostream &Out, std::string_view Type,
                        const std::map<metric_key, metric_value> &Values) {
  std::string_view Previous;
  for (const auto &[Key, Value] : Values) {
    if (Key.Name != Previous)
      Out << "# TYPE cardamom_" << Key.Name << ' ' << Type << '\n';
    Previous = Key.Name;
    Out << "cardamom_" << Key.Name;
    if (!Key.Label.empty())
      Out << '{' << Key.Label << "=\"" << escapeLabelValue(Key.LabelValue)
          << "\"}";
    Out << ' ' << Value.get() << '\n';
  }
}

std::string metrics::toPrometheusText() const {
  static constexpr double Quantiles[] = {0.5, 0.9, 0.99};
  std::ostringstream Out;
  std::lock_guard Lock(State->Mutex);
  writeValues(Out, "counter", State->Counters);
  writeValues(Out, "gauge", State->Gauges);
  for (const auto &[Name, Histogram] : State->Histograms) {
    Out << "# TYPE cardamom_" << Name << " summary\n";
    for (double Q : Quantiles)
      Out << "cardamom_" << Name << "{quantile=\"" << Q << "\"} "
          << Histogram.quantile(Q) << '\n';
    Out << "cardamom_" << Name << "_sum " << Histogram.sum() << '\n';
    Out << "cardamom_" << Name << "_count " << Histogram.count() << '\n';
  }
  return Out.str();
}

} // namespace cardamom
