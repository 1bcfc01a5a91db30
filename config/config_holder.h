/// \file
/// Holds the current configuration of a process.
///
/// Use:
///   config_holder Holder;
///   if (Holder.install(std::make_shared<const configuration>(...)))
///     ... // it is now the current configuration
///   // Use one snapshot for a whole decision, so that the decision is not
///   // based on two versions.
///   const auto Config = Holder.get();

#ifndef CARDAMOM_CONFIG_CONFIG_HOLDER_H
#define CARDAMOM_CONFIG_CONFIG_HOLDER_H

#include "base/time.h"

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>

namespace cardamom {

struct configuration;

/// Thread-safe. The version never decreases, so a configuration is not replaced
/// by an older one when copies arrive out of order.
class config_holder {
public:
  /// Installs Config if its version is higher than the current version, and
  /// returns whether it was installed. A null Config is ignored.
  bool install(std::shared_ptr<const configuration> Config);

  /// Null until the first install().
  [[nodiscard]] std::shared_ptr<const configuration> get() const;

  /// The current version; 0 until the first install().
  [[nodiscard]] uint64_t version() const;

  /// Waits until the current version is at least Version. Returns null on
  /// timeout.
  [[nodiscard]] std::shared_ptr<const configuration>
  waitFor(uint64_t Version, milliseconds Timeout) const;

private:
  mutable std::mutex Mutex;
  mutable std::condition_variable Changed;
  std::shared_ptr<const configuration> Current;
};

} // namespace cardamom

#endif // CARDAMOM_CONFIG_CONFIG_HOLDER_H
