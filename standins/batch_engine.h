/// \file
/// State of the emulated model engine: continuous batching, weight versions
/// and failures.
///
/// Usage: one thread calls step() every msPerToken() milliseconds; request
/// handlers start runs and consume their output lines. The owner synchronizes
/// all access with one mutex.

#ifndef STANDINS_BATCH_ENGINE_H
#define STANDINS_BATCH_ENGINE_H

#include "standins/clock.h"
#include "standins/prefix_cache.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace standins {

struct batch_engine_options {
  std::string Model = "model";
  uint64_t Version = 1;
  /// Maximum number of runs in a batch; each gets one token per step.
  size_t Slots = 8;
  double MsPerToken = 10;
  /// Prefill time per prompt token that is not cached.
  double PrefillMsPerToken = 0.05;
  bool ChecksFence = false;
  /// Age of the samples that loadReport() returns.
  milliseconds LoadReportDelay{0};
  size_t MaxWaiting = 1024;
  prefix_cache_options Cache{};
};

struct generate_request {
  std::string Id{};
  std::string Prompt{};
  uint64_t MaxTokens = 16;
  /// 0 is the highest priority.
  int64_t Priority = 0;
  std::string ResumeText{};
  uint64_t ResumeTokens = 0;
};

enum class run_state {
  Running,
  Done,
  Cancelled,
  /// The client closed the connection before the run ended.
  Disconnected,
  Crashed,
  SwapFailed,
};

std::string_view runStateName(run_state State);

/// State of one stream. Access requires the lock of the engine's owner.
struct token_run {
  generate_request Request;
  uint64_t PromptHash = 0;
  /// Position of the next token, from 0 at the end of the prompt.
  uint64_t NextPosition = 0;
  uint64_t CachedTokens = 0;
  /// Time at which prefill ends and decoding starts.
  time_point PrefillDoneAt;
  run_state State = run_state::Running;
  /// Output lines not yet sent.
  std::string Output;
  /// Called when output was added or the run ended.
  std::function<void()> OnUpdate;
};

struct run_summary {
  std::string Id{};
  uint64_t Tokens = 0;
  run_state State = run_state::Running;
};

struct weight_load_order {
  std::string Model{};
  uint64_t Version = 0;
  std::string Source{};
  uint64_t FencingToken = 0;
  bool Accepted = false;
};

enum class engine_state { Ready, Loading, Failed };

struct engine_load {
  size_t Running = 0;
  size_t Waiting = 0;
  milliseconds Age{0};
  /// Fraction of the KV cache in use, 0 to 1.
  double KvUsed = 0;
};

/// Why start() rejected a request.
enum class start_error { None, DuplicateId, Failed, Full, BadResume, TooLarge };

/// Not thread-safe. step() takes O(slots) and at most O(waiting log waiting)
/// for admissions.
class batch_engine {
public:
  explicit batch_engine(batch_engine_options Options);

  struct start_result {
    start_error Error = start_error::None;
    std::shared_ptr<token_run> Run;
  };
  start_result start(generate_request Request, time_point Now);
  /// Returns false if no run with this id is active.
  bool cancel(const std::string &Id);
  /// Ends a run whose client has disconnected.
  void disconnect(const std::shared_ptr<token_run> &Run);
  /// Admits waiting runs by priority, then gives each ready run one token.
  void step(time_point Now);
  /// Returns true if no run is active or waiting.
  [[nodiscard]] bool idle() const;
  /// Samples the current load for loadReport(). Call it every few milliseconds.
  void recordLoadSample(time_point Now);

  /// Accepts or rejects an order to load weights, and records it. Call
  /// finishWeightLoad() for every accepted order that no newer one replaced.
  bool orderWeightLoad(weight_load_order Order);
  /// Swaps to the new weights. The swap fails if Fetched is false.
  void finishWeightLoad(const weight_load_order &Order, bool Fetched,
                        time_point Now);

  /// Ends all runs and clears the prefix cache.
  void crash(time_point Now);
  void failNextSwap() { FailNextSwap = true; }
  void setMsPerToken(double Value) { Options.MsPerToken = Value; }
  [[nodiscard]] double msPerToken() const { return Options.MsPerToken; }

  [[nodiscard]] engine_load loadReport(time_point Now) const;
  [[nodiscard]] engine_state state() const { return State; }
  [[nodiscard]] uint64_t version() const { return Options.Version; }
  [[nodiscard]] const std::string &model() const { return Options.Model; }
  [[nodiscard]] size_t slots() const { return Options.Slots; }
  [[nodiscard]] uint64_t lastFencingToken() const { return LastFencingToken; }
  [[nodiscard]] std::vector<run_summary> runs() const;
  [[nodiscard]] const std::deque<weight_load_order> &orders() const {
    return Orders;
  }
  /// Number of streams that were neither completed nor cancelled.
  [[nodiscard]] uint64_t interruptedStreams() const {
    return InterruptedStreams;
  }
  prefix_cache &cache() { return Cache; }

private:
  using run_pointer = std::shared_ptr<token_run>;
  /// (priority, arrival number): runs are admitted by priority, then in order
  /// of arrival.
  using admission_key = std::pair<int64_t, uint64_t>;

  void admitWaiting(time_point Now);
  void emitToken(token_run &Run);
  void finishRun(const run_pointer &Run, run_state EndState);
  void finishAllRuns(run_state EndState);
  [[nodiscard]] engine_load currentLoad() const;

  batch_engine_options Options;
  prefix_cache Cache;
  engine_state State = engine_state::Ready;
  uint64_t LastFencingToken = 0;
  bool FailNextSwap = false;
  uint64_t Arrivals = 0;
  uint64_t InterruptedStreams = 0;
  std::map<admission_key, run_pointer> Waiting;
  std::vector<run_pointer> Running;
  std::map<std::string, run_pointer> ById;
  std::deque<run_summary> Ended;
  std::deque<weight_load_order> Orders;
  std::deque<std::pair<time_point, engine_load>> LoadHistory;
};

} // namespace standins

#endif // STANDINS_BATCH_ENGINE_H
