#include "jobs/checkpoint_server.h"

#include "base/log.h"
#include "base/percent_encoding.h"
#include "http/event_loop.h"
#include "http/http_server.h"
#include "jobs/inner_paths.h"
#include "store/upsert_object.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <system_error>
#include <unistd.h>

namespace cardamom {

namespace {

/// File descriptor that is closed by the destructor.
class descriptor {
public:
  descriptor(const std::filesystem::path &Path, int Flags)
      : Fd(::open(Path.c_str(), Flags | O_CLOEXEC, 0644)) {
    check(Fd >= 0, Path);
  }
  ~descriptor() { ::close(Fd); }
  descriptor(const descriptor &) = delete;
  descriptor &operator=(const descriptor &) = delete;

  static void check(bool Succeeded, const std::filesystem::path &Path) {
    if (!Succeeded)
      throw std::system_error(errno, std::generic_category(), Path.string());
  }

  const int Fd;
};

} // namespace

/// Throws std::system_error that names the file.
static void writeSynced(const std::filesystem::path &Path,
                        std::string_view Data) {
  const descriptor File(Path, O_WRONLY | O_CREAT | O_TRUNC);
  while (!Data.empty()) {
    const ssize_t Written = ::write(File.Fd, Data.data(), Data.size());
    descriptor::check(Written >= 0 || errno == EINTR, Path);
    if (Written > 0)
      Data.remove_prefix(size_t(Written));
  }
  descriptor::check(::fdatasync(File.Fd) == 0, Path);
}

checkpoint_server::checkpoint_server(event_loop &Loop,
                                     async_store_client &Store,
                                     checkpoint_server_options Options)
    : Loop(Loop), Store(Store), Options(std::move(Options)) {}

checkpoint_server::~checkpoint_server() = default;

void checkpoint_server::start() {
  Server = std::make_unique<http_server>(
      Loop,
      http_server_options{.Listen = Options.Listen,
                          .OnRequest = [this](const exchange_ptr &Exchange) {
                            handle(Exchange);
                          }});
  upsertObject(Store, {.Op = object_op::Create,
                       .Kind = std::string(CheckpointServerKind),
                       .Name = Options.Name,
                       .Value = {{"address", Options.Listen},
                                 {"failure_domain", Options.FailureDomain}}});
}

void checkpoint_server::handle(const exchange_ptr &Exchange) {
  const std::string &Target = Exchange->request().Target;
  const std::string Pool = queryParameter(Target, "pool");
  if (pathOf(Target) != InnerCheckpointPath || Pool.empty()) {
    Exchange->respond({.Status = 404, .Headers = {}, .Body = {}});
    return;
  }
  if (Exchange->request().Method == "POST") {
    save(Pool, Exchange->request().Body);
    Exchange->respond({.Status = 200, .Headers = {}, .Body = {}});
    return;
  }
  const std::string Checkpoint = load(Pool);
  Exchange->respond({.Status = Checkpoint.empty() ? 404U : 200U,
                     .Headers = {{"Content-Type", "application/json"}},
                     .Body = Checkpoint});
}

std::filesystem::path
checkpoint_server::checkpointFile(const std::string &Pool) const {
  return Options.DataDir / ("checkpoint-" + percentEncode(Pool));
}

void checkpoint_server::save(const std::string &Pool, std::string Checkpoint) {
  std::string &Stored = Checkpoints[Pool];
  Stored = std::move(Checkpoint);
  if (Options.DataDir.empty())
    return;
  const std::filesystem::path File = checkpointFile(Pool);
  const std::filesystem::path TemporaryFile = File.string() + ".new";
  try {
    writeSynced(TemporaryFile, Stored);
    std::filesystem::rename(TemporaryFile, File);
    const descriptor Directory(Options.DataDir, O_RDONLY | O_DIRECTORY);
    descriptor::check(::fsync(Directory.Fd) == 0, Options.DataDir);
  } catch (const std::system_error &Error) {
    // load() still returns the checkpoint from memory.
    logInfo("checkpoint_not_written",
            {{"pool", Pool}, {"reason", Error.what()}});
  }
}

std::string checkpoint_server::load(const std::string &Pool) {
  if (const auto It = Checkpoints.find(Pool); It != Checkpoints.end())
    return It->second;
  if (Options.DataDir.empty())
    return {};
  std::ifstream File(checkpointFile(Pool), std::ios::binary);
  if (!File)
    return {};
  std::string Checkpoint((std::istreambuf_iterator<char>(File)), {});
  logInfo("checkpoint_read",
          {{"pool", Pool}, {"bytes", std::to_string(Checkpoint.size())}});
  return Checkpoint;
}

} // namespace cardamom
