#include "standins/batch_engine.h"

#include "standins/token_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace standins {

namespace {

constexpr size_t MaxEndedRuns = 100'000;
constexpr size_t MaxOrders = 10'000;
constexpr size_t MaxLoadSamples = 256;
/// A run pauses while it has more unread output than this.
constexpr size_t MaxUnreadBytes = 64 << 10;
constexpr size_t MaxIdBytes = 256;
constexpr size_t MaxPromptBytes = 1 << 20;
constexpr double KvTokensPerSlot = 4096;

uint64_t promptTokens(const generate_request &Request) {
  size_t Bytes = Request.Prompt.size() + Request.ResumeText.size();
  return (Bytes + prefix_cache::BytesPerToken - 1) /
         prefix_cache::BytesPerToken;
}

/// Compares the lengths first, so that a huge invalid resume_tokens is rejected
/// without generating that many tokens.
bool isValidResume(const generate_request &Request) {
  return Request.ResumeText.size() / TokenTextBytes == Request.ResumeTokens &&
         Request.ResumeText ==
             expectedCompletion(Request.Prompt, Request.ResumeTokens);
}

} // namespace

std::string_view runStateName(run_state State) {
  switch (State) {
  case run_state::Running:
    return "";
  case run_state::Done:
    return "done";
  case run_state::Cancelled:
    return "cancelled";
  case run_state::Disconnected:
    return "disconnected";
  case run_state::Crashed:
    return "crashed";
  case run_state::SwapFailed:
    break;
  }
  return "swap_failed";
}

batch_engine::batch_engine(batch_engine_options Options)
    : Options(std::move(Options)), Cache(this->Options.Cache) {}

batch_engine::start_result batch_engine::start(generate_request Request,
                                               time_point Now) {
  if (State == engine_state::Failed)
    return {start_error::Failed, nullptr};
  if (Request.Id.size() > MaxIdBytes || Request.Prompt.size() > MaxPromptBytes)
    return {start_error::TooLarge, nullptr};
  if (ById.contains(Request.Id))
    return {start_error::DuplicateId, nullptr};
  if (Waiting.size() >= Options.MaxWaiting)
    return {start_error::Full, nullptr};
  if (!isValidResume(Request))
    return {start_error::BadResume, nullptr};
  auto Run = std::make_shared<token_run>();
  Run->Request = std::move(Request);
  Run->PromptHash = fnv1aHash(Run->Request.Prompt);
  Run->NextPosition = Run->Request.ResumeTokens;
  Run->PrefillDoneAt = Now;
  ById[Run->Request.Id] = Run;
  Waiting[{Run->Request.Priority, ++Arrivals}] = Run;
  return {start_error::None, Run};
}

bool batch_engine::cancel(const std::string &Id) {
  auto It = ById.find(Id);
  if (It == ById.end())
    return false;
  run_pointer Run = It->second;
  Run->Output += "{\"cancelled\":true}\n";
  finishRun(Run, run_state::Cancelled);
  return true;
}

void batch_engine::disconnect(const run_pointer &Run) {
  if (Run->State == run_state::Running)
    finishRun(Run, run_state::Disconnected);
}

bool batch_engine::idle() const { return Running.empty() && Waiting.empty(); }

void batch_engine::step(time_point Now) {
  admitWaiting(Now);
  // Iterate over a copy, because finishRun() removes elements from Running.
  std::vector<run_pointer> Batch = Running;
  for (const run_pointer &Run : Batch) {
    if (Run->PrefillDoneAt > Now || Run->Output.size() > MaxUnreadBytes)
      continue;
    if (Run->NextPosition < Run->Request.MaxTokens)
      emitToken(*Run);
    if (Run->NextPosition < Run->Request.MaxTokens) {
      if (Run->OnUpdate)
        Run->OnUpdate();
      continue;
    }
    nlohmann::json FinalLine = {
        {"done", true},
        {"tokens", Run->NextPosition - Run->Request.ResumeTokens},
        {"cached_tokens", Run->CachedTokens}};
    Run->Output += FinalLine.dump() + "\n";
    finishRun(Run, run_state::Done);
  }
}

void batch_engine::admitWaiting(time_point Now) {
  while (Running.size() < Options.Slots && !Waiting.empty()) {
    run_pointer Run = Waiting.begin()->second;
    Waiting.erase(Waiting.begin());
    auto Prefixes = prefix_cache::prefixHashes(Run->Request.Prompt +
                                               Run->Request.ResumeText);
    Run->CachedTokens =
        Cache.countCached(Prefixes) * prefix_cache::TokensPerBlock;
    Cache.insert(Prefixes, Now);
    uint64_t UncachedTokens = promptTokens(Run->Request) - Run->CachedTokens;
    Run->PrefillDoneAt =
        Now +
        std::chrono::duration_cast<steady_clock::duration>(fractional_ms(
            static_cast<double>(UncachedTokens) * Options.PrefillMsPerToken));
    Running.push_back(std::move(Run));
  }
}

void batch_engine::emitToken(token_run &Run) {
  // Formatted without the JSON library, because this line dominates the
  // emulator's CPU time. Token text needs no escaping.
  Run.Output += "{\"token\":\"";
  Run.Output += tokenText(Run.PromptHash, Run.NextPosition++);
  Run.Output += "\",\"version\":" + std::to_string(Options.Version) + "}\n";
}

void batch_engine::finishRun(const run_pointer &Run, run_state EndState) {
  Run->State = EndState;
  InterruptedStreams +=
      EndState != run_state::Done && EndState != run_state::Cancelled;
  std::erase(Running, Run);
  std::erase_if(Waiting,
                [&](const auto &Entry) { return Entry.second == Run; });
  ById.erase(Run->Request.Id);
  Ended.push_back({Run->Request.Id,
                   Run->NextPosition - Run->Request.ResumeTokens, EndState});
  if (Ended.size() > MaxEndedRuns)
    Ended.pop_front();
  if (Run->OnUpdate)
    Run->OnUpdate();
}

void batch_engine::finishAllRuns(run_state EndState) {
  while (!ById.empty())
    finishRun(run_pointer(ById.begin()->second), EndState);
}

bool batch_engine::orderWeightLoad(weight_load_order Order) {
  Order.Accepted =
      !Options.ChecksFence || Order.FencingToken >= LastFencingToken;
  if (Order.Accepted) {
    if (Options.ChecksFence)
      LastFencingToken = Order.FencingToken;
    State = engine_state::Loading;
  }
  bool Accepted = Order.Accepted;
  Orders.push_back(std::move(Order));
  if (Orders.size() > MaxOrders)
    Orders.pop_front();
  return Accepted;
}

void batch_engine::finishWeightLoad(const weight_load_order &Order,
                                    bool Fetched, time_point Now) {
  if (!Fetched || FailNextSwap) {
    FailNextSwap = false;
    State = engine_state::Failed;
    finishAllRuns(run_state::SwapFailed);
    return;
  }
  Options.Model = Order.Model;
  Options.Version = Order.Version;
  State = engine_state::Ready;
  // Cached prefixes were computed with the previous weights.
  Cache.clear(Now);
}

void batch_engine::crash(time_point Now) {
  finishAllRuns(run_state::Crashed);
  Cache.clear(Now);
}

engine_load batch_engine::currentLoad() const {
  engine_load Load;
  Load.Running = Running.size();
  Load.Waiting = Waiting.size();
  double Tokens = 0;
  for (const run_pointer &Run : Running)
    Tokens +=
        static_cast<double>(promptTokens(Run->Request) + Run->NextPosition);
  double Capacity = KvTokensPerSlot * static_cast<double>(Options.Slots);
  Load.KvUsed = std::min(1.0, Tokens / Capacity);
  return Load;
}

void batch_engine::recordLoadSample(time_point Now) {
  milliseconds Spacing =
      Options.LoadReportDelay / static_cast<int>(MaxLoadSamples / 4);
  if (!LoadHistory.empty() && Now - LoadHistory.back().first < Spacing)
    return;
  LoadHistory.emplace_back(Now, currentLoad());
  if (LoadHistory.size() > MaxLoadSamples)
    LoadHistory.pop_front();
}

engine_load batch_engine::loadReport(time_point Now) const {
  if (Options.LoadReportDelay.count() == 0 || LoadHistory.empty())
    return currentLoad();
  auto It = std::find_if(LoadHistory.rbegin(), LoadHistory.rend(),
                         [&](const auto &Entry) {
                           return Entry.first + Options.LoadReportDelay <= Now;
                         });
  const auto &[Time, Load] =
      It == LoadHistory.rend() ? LoadHistory.front() : *It;
  engine_load Result = Load;
  Result.Age = std::chrono::duration_cast<milliseconds>(Now - Time);
  return Result;
}

std::vector<run_summary> batch_engine::runs() const {
  std::vector<run_summary> Runs(Ended.begin(), Ended.end());
  for (const auto &[Id, Run] : ById)
    Runs.push_back(
        {Id, Run->NextPosition - Run->Request.ResumeTokens, Run->State});
  return Runs;
}

} // namespace standins
