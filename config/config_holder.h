/// \file
/// Holds the newest configuration of a process.
///
/// Use:
///   config_holder Holder;
///   if (Holder.install(std::make_shared<const configuration>(...)))
///     ... // it is now in force
///   const auto Config = Holder.get(); // keep it for one whole decision

#ifndef CARDAMOM_CONFIG_CONFIG_HOLDER_H
#define CARDAMOM_CONFIG_CONFIG_HOLDER_H

#include "base/time.h"

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>

namespace cardamom {

struct configuration;

/// Thread-safe. The version held only rises, so an accepted configuration
/// never reverts, whatever order copies of it arrive in.
class config_holder {
public:
  /// Installs Config when its version is higher than the one held; returns
  /// whether it did. A null Config is not installed.
  bool install(std::shared_ptr<const configuration> Config);

  /// Null until the first install().
  [[nodiscard]] std::shared_ptr<const configuration> get() const;

  /// Version held; 0 until the first install().
  [[nodiscard]] uint64_t version() const;

  /// Waits until Version or a higher one is held. Returns null on timeout.
  [[nodiscard]] std::shared_ptr<const configuration>
  waitFor(uint64_t Version, milliseconds Timeout) const;

private:
  mutable std::mutex Mutex;
  mutable std::condition_variable Changed;
  std::shared_ptr<const configuration> Current;
};

} // namespace cardamom

#endif // CARDAMOM_CONFIG_CONFIG_HOLDER_H
