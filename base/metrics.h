/// \file
/// Process-wide counters, gauges and histograms, exported in the Prometheus
/// text format.
///
/// Usage:
///   metrics::get().counter("requests_refused_total", "reason", "queue_full")
///       .add();
///   metrics::get().histogram("queue_wait_ms").record(3.5);
///
/// Look-ups take a lock and cost O(log n). Code on hot paths should keep the
/// returned reference, which is valid until the process exits.

#ifndef CARDAMOM_BASE_METRICS_H
#define CARDAMOM_BASE_METRICS_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace cardamom {

/// Value of a counter, which only increases, or of a gauge, which is set.
/// Thread-safe.
class metric_value {
public:
  void add(uint64_t N = 1) { Value.fetch_add(N, std::memory_order_relaxed); }
  void set(uint64_t N) { Value.store(N, std::memory_order_relaxed); }
  [[nodiscard]] uint64_t get() const {
    return Value.load(std::memory_order_relaxed);
  }

private:
  std::atomic<uint64_t> Value{0};
};

/// Histogram with logarithmic bins from 0.01 to 1e6. The name of the metric
/// states the unit. Thread-safe.
class metric_histogram {
public:
  metric_histogram();
  ~metric_histogram();
  metric_histogram(const metric_histogram &) = delete;
  metric_histogram &operator=(const metric_histogram &) = delete;

  void record(double Value);
  /// Returns the upper edge of the bin that contains quantile Q in [0, 1], or 0
  /// if the histogram is empty.
  [[nodiscard]] double quantile(double Q) const;
  [[nodiscard]] uint64_t count() const;
  [[nodiscard]] double sum() const;

private:
  friend class metrics;
  struct state;
  std::unique_ptr<state> State;
};

/// Registry of all metrics of the process.
class metrics {
public:
  /// Returns the registry of this process.
  static metrics &get();

  metrics();
  ~metrics();

  metric_value &counter(std::string_view Name, std::string_view Label = {},
                        std::string_view LabelValue = {});
  metric_value &gauge(std::string_view Name, std::string_view Label = {},
                      std::string_view LabelValue = {});
  metric_histogram &histogram(std::string_view Name);

  /// Returns all metrics in the Prometheus text format. Names get the prefix
  /// "cardamom_".
  [[nodiscard]] std::string toPrometheusText() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace cardamom

#endif // CARDAMOM_BASE_METRICS_H
