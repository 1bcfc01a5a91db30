/// \file
/// Process-wide counters, gauges and histograms, written in the Prometheus
/// text format.
///
/// Use:
///   metrics::get().counter("requests_refused_total", "reason", "queue_full")
///       .add();
///   metrics::get().histogram("queue_wait_ms").record(3.5);
///
/// Look-ups take a lock and cost O(log n); keep the reference, which stays
/// valid for the life of the process, on hot paths.

#ifndef CARDAMOM_BASE_METRICS_H
#define CARDAMOM_BASE_METRICS_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace cardamom {

/// A value that only rises (counter) or is set (gauge). Thread-safe.
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

/// Distribution on a logarithmic axis from 0.01 to 1e6 (unit in the name of
/// the metric). Thread-safe.
class metric_histogram {
public:
  metric_histogram();
  ~metric_histogram();
  metric_histogram(const metric_histogram &) = delete;
  metric_histogram &operator=(const metric_histogram &) = delete;

  void record(double Value);
  /// Upper edge of the bin that holds quantile Q in [0, 1]; 0 when empty.
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
  /// The registry of this process.
  static metrics &get();

  metrics();
  ~metrics();

  metric_value &counter(std::string_view Name, std::string_view Label = {},
                        std::string_view LabelValue = {});
  metric_value &gauge(std::string_view Name, std::string_view Label = {},
                      std::string_view LabelValue = {});
  metric_histogram &histogram(std::string_view Name);

  /// All metrics in the Prometheus text format; names get the prefix
  /// "cardamom_".
  [[nodiscard]] std::string toPrometheusText() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace cardamom

#endif // CARDAMOM_BASE_METRICS_H
