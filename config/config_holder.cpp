#include "config/config_holder.h"

#include "config/configuration.h"

#include <utility>

namespace cardamom {

bool config_holder::install(std::shared_ptr<const configuration> Config) {
  if (Config == nullptr)
    return false;
  {
    std::lock_guard Lock(Mutex);
    if (Current != nullptr && Config->Version <= Current->Version)
      return false;
    // Config now owns the previous configuration and destroys it after the
    // lock is released.
    std::swap(Current, Config);
  }
  Changed.notify_all();
  return true;
}

std::shared_ptr<const configuration> config_holder::get() const {
  std::lock_guard Lock(Mutex);
  return Current;
}

uint64_t config_holder::version() const {
  std::lock_guard Lock(Mutex);
  return Current == nullptr ? 0 : Current->Version;
}

std::shared_ptr<const configuration>
config_holder::waitFor(uint64_t Version, milliseconds Timeout) const {
  std::unique_lock Lock(Mutex);
  const bool Reached = Changed.wait_for(Lock, Timeout, [&] {
    return Current != nullptr && Current->Version >= Version;
  });
  return Reached ? Current : nullptr;
}

} // namespace cardamom
