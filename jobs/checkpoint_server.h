/// \file
/// Stores the latest checkpoint of each pool's scheduler in memory and on disk,
/// so that it survives a power failure of all gateways.
///
/// Usage:
///   checkpoint_server Server(Loop, Store, {.Name = "vm-1", .Listen = Inner,
///                                          .DataDir = Directory});
///   Server.start();
///
/// A checkpoint is an optimization: items whose progress is lost are generated
/// again, and the scheduler that reads a checkpoint validates it. A checkpoint
/// is written to a new file, synced and renamed, so that an interrupted write
/// leaves the previous checkpoint intact.

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

/// Kind of the store objects that hold the addresses of checkpoint servers.
inline constexpr std::string_view CheckpointServerKind = "checkpoint-keepers";

struct checkpoint_server_options {
  std::string Name;
  std::string FailureDomain;
  /// "IP:port".
  std::string Listen;
  /// Existing directory; empty = checkpoints are held in memory only.
  std::filesystem::path DataDir;
};

class checkpoint_server {
public:
  checkpoint_server(event_loop &Loop, async_store_client &Store,
                    checkpoint_server_options Options);
  ~checkpoint_server();
  checkpoint_server(const checkpoint_server &) = delete;
  checkpoint_server &operator=(const checkpoint_server &) = delete;

  /// Throws std::runtime_error when the address is in use.
  void start();

private:
  void handle(const std::shared_ptr<http_exchange> &Exchange);
  void save(const std::string &Pool, std::string Checkpoint);
  [[nodiscard]] std::string load(const std::string &Pool);
  [[nodiscard]] std::filesystem::path
  checkpointFile(const std::string &Pool) const;

  event_loop &Loop;
  async_store_client &Store;
  checkpoint_server_options Options;
  std::unique_ptr<http_server> Server;
  /// Latest checkpoint of each pool.
  std::map<std::string, std::string> Checkpoints;
};

} // namespace cardamom

#endif // CARDAMOM_JOBS_CHECKPOINT_SERVER_H
