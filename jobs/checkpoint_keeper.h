/// \file
/// Keeps the newest progress of each pool's scheduler, in memory and on a disk,
/// so that it outlives a loss of power of all gateways.
///
/// Use:
///   checkpoint_keeper Keeper(Loop, Link, {.Name = "vm-1", .Listen = Inner,
///                                         .DataDir = Folder});
///   Keeper.start();
///
/// Bulk data only: what a keeper loses is generated again, and what it has is
/// checked by whoever takes it. A checkpoint is written to a new file, synced
/// and renamed, so that a torn write leaves the former one.

#ifndef CARDAMOM_JOBS_CHECKPOINT_KEEPER_H
#define CARDAMOM_JOBS_CHECKPOINT_KEEPER_H

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace cardamom {

class event_loop;
class http_exchange;
class http_server;
class object_link;

/// Kind of the objects that tell where keepers are.
inline constexpr std::string_view KeeperKind = "checkpoint-keepers";

struct checkpoint_keeper_options {
  std::string Name;
  std::string FailureDomain;
  /// "IP:port".
  std::string Listen;
  /// Existing folder; empty = memory only.
  std::filesystem::path DataDir;
};

class checkpoint_keeper {
public:
  checkpoint_keeper(event_loop &Loop, object_link &Link,
                    checkpoint_keeper_options Options);
  ~checkpoint_keeper();
  checkpoint_keeper(const checkpoint_keeper &) = delete;
  checkpoint_keeper &operator=(const checkpoint_keeper &) = delete;

  /// Throws std::runtime_error when the address is in use.
  void start();

private:
  void handle(const std::shared_ptr<http_exchange> &Exchange);
  void keep(const std::string &Pool, std::string Progress);
  [[nodiscard]] std::string find(const std::string &Pool);
  [[nodiscard]] std::filesystem::path fileOf(const std::string &Pool) const;

  event_loop &Loop;
  object_link &Link;
  checkpoint_keeper_options Options;
  std::unique_ptr<http_server> Server;
  /// By pool.
  std::map<std::string, std::string> Kept;
};

} // namespace cardamom

#endif // CARDAMOM_JOBS_CHECKPOINT_KEEPER_H
