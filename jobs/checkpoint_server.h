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

#ifndef CARDAMOM_JOBS_CHECKPOINT_SERVER_H
#define CARDAMOM_JOBS_CHECKPOINT_SERVER_H

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace cardamom {

class event_loop;
class http_exchange;
class http_server;
class async_store_client;

/// Kind of the objects that tell where keepers are.
inline constexpr std::string_view CheckpointServerKind = "checkpoint-keepers";

struct checkpoint_server_options {
  std::string Name;
  std::string FailureDomain;
  /// "IP:port".
  std::string Listen;
  /// Existing folder; empty = memory only.
  std::filesystem::path DataDir;
};

class checkpoint_server {
public:
  checkpoint_server(event_loop &Loop, async_store_client &Link,
                    checkpoint_server_options Options);
  ~checkpoint_server();
  checkpoint_server(const checkpoint_server &) = delete;
  checkpoint_server &operator=(const checkpoint_server &) = delete;

  /// Throws std::runtime_error when the address is in use.
  void start();

private:
  void handle(const std::shared_ptr<http_exchange> &Exchange);
  void save(const std::string &Pool, std::string Progress);
  [[nodiscard]] std::string load(const std::string &Pool);
  [[nodiscard]] std::filesystem::path
  checkpointFile(const std::string &Pool) const;

  event_loop &Loop;
  async_store_client &Store;
  checkpoint_server_options Options;
  std::unique_ptr<http_server> Server;
  /// By pool.
  std::map<std::string, std::string> Checkpoints;
};

} // namespace cardamom

#endif // CARDAMOM_JOBS_CHECKPOINT_SERVER_H
