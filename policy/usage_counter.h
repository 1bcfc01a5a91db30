/// \file
/// Counts the requests of each tenant that began to run, by window of time.
///
/// Usage:
///   usage_counter Counter({.Window = milliseconds(5000)});
///   Counter.count("tenant", UnixMs);
///   for (const auto &[Window, Counts] : Counter.windows()) ...
///
/// Window k begins k times the length of a window after the start of 1970.
/// Reads no clock; memory is bounded by the retained windows and the tenants
/// that were active in them.

#ifndef CARDAMOM_POLICY_USAGE_COUNTER_H
#define CARDAMOM_POLICY_USAGE_COUNTER_H

#include "base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cardamom {

/// Requests by tenant.
using tenant_counts = std::map<std::string, uint64_t, std::less<>>;
/// Counts by number of the window.
using usage_windows = std::map<uint64_t, tenant_counts>;

struct usage_counter_options {
  milliseconds Window{5000};
  /// How long counts are kept after their window.
  milliseconds Retention{60000};
};

class usage_counter {
public:
  explicit usage_counter(usage_counter_options Options) : Options(Options) {}

  void count(std::string_view Tenant, uint64_t UnixMs);
  [[nodiscard]] const usage_windows &windows() const { return Windows; }
  [[nodiscard]] uint64_t windowOf(uint64_t UnixMs) const {
    return UnixMs / uint64_t(Options.Window.count());
  }

private:
  usage_counter_options Options;
  usage_windows Windows;
};

} // namespace cardamom

#endif // CARDAMOM_POLICY_USAGE_COUNTER_H
