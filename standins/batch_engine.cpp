#include "standins/batch_engine.h"

#include "standins/token_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace standins {

namespace {

constexpr size_t MaxEndedRuns = 100'000;
constexpr size_t MaxOrders = 10'000;
constexpr size_t MaxLoads = 256;
/// A run pauses when its reader is this far behind.
constexpr size_t MaxOutputBytes = 64 << 10;
constexpr size_t MaxIdBytes = 256;
constexpr size_t MaxPromptBytes = 1 << 20;
constexpr double KvTokensPerSlot = 4096;

uint64_t promptTokens(const generate_request &Request) {
  size_t Bytes = Request.Prompt.size() + Request.ResumeText.size();
  return (Bytes + prefix_cache::BytesPerToken - 1) /
         prefix_cache::BytesPerToken;
}

/// Compares the lengths first, so that a wrong resume_tokens costs nothing.
bool resumesAnswer(const generate_request &Request) {
  return Request.ResumeText.size() / TokenBytes == Request.ResumeTokens &&
         Request.ResumeText == answerText(Request.Prompt, Request.ResumeTokens);
}

} // namespace

std::string_view endName(run_end End) {
  switch (End) {
  case run_end::Running:
    return "";
  case run_end::Done:
    return "done";
  case run_end::Cancelled:
    return "cancelled";
  case run_end::Disconnected:
    return "disconnected";
  case run_end::Crashed:
    return "crashed";
  case run_end::SwapFailed:
    break;
  }
  return "swap_failed";
}

batch_engine::batch_engine(batch_engine_options Options)
    : Options(std::move(Options)), Cache(this->Options.Cache) {}

batch_engine::start_result batch_engine::start(generate_request Request,
                                               time_point Now) {
  if (State == engine_state::Failed)
    return {start_refusal::Failed, nullptr};
  if (Request.Id.size() > MaxIdBytes || Request.Prompt.size() > MaxPromptBytes)
    return {start_refusal::TooLarge, nullptr};
  if (ById.contains(Request.Id))
    return {start_refusal::DuplicateId, nullptr};
  if (Waiting.size() >= Options.MaxWaiting)
    return {start_refusal::Full, nullptr};
  if (!resumesAnswer(Request))
    return {start_refusal::BadResume, nullptr};
  auto Run = std::make_shared<token_run>();
  Run->Request = std::move(Request);
  Run->PromptHash = hashText(Run->Request.Prompt);
  Run->Next = Run->Request.ResumeTokens;
  Run->ReadyAt = Now;
  ById[Run->Request.Id] = Run;
  Waiting[{Run->Request.Priority, ++Arrivals}] = Run;
  return {start_refusal::None, Run};
}

bool batch_engine::cancel(const std::string &Id) {
  auto It = ById.find(Id);
  if (It == ById.end())
    return false;
  run_pointer Run = It->second;
  Run->Output += "{\"cancelled\":true}\n";
  finish(Run, run_end::Cancelled);
  return true;
}

void batch_engine::disconnect(const run_pointer &Run) {
  if (Run->End == run_end::Running)
    finish(Run, run_end::Disconnected);
}

bool batch_engine::idle() const { return Running.empty() && Waiting.empty(); }

void batch_engine::step(time_point Now) {
  admit(Now);
  // A copy, since finish() removes from Running.
  std::vector<run_pointer> Batch = Running;
  for (const run_pointer &Run : Batch) {
    if (Run->ReadyAt > Now || Run->Output.size() > MaxOutputBytes)
      continue;
    if (Run->Next < Run->Request.MaxTokens)
      emitToken(*Run);
    if (Run->Next < Run->Request.MaxTokens) {
      if (Run->Wake)
        Run->Wake();
      continue;
    }
    nlohmann::json Last = {{"done", true},
                           {"tokens", Run->Next - Run->Request.ResumeTokens},
                           {"cached_tokens", Run->CachedTokens}};
    Run->Output += Last.dump() + "\n";
    finish(Run, run_end::Done);
  }
}

void batch_engine::admit(time_point Now) {
  while (Running.size() < Options.Slots && !Waiting.empty()) {
    run_pointer Run = Waiting.begin()->second;
    Waiting.erase(Waiting.begin());
    auto Prefixes =
        prefix_cache::prefixes(Run->Request.Prompt + Run->Request.ResumeText);
    Run->CachedTokens =
        Cache.countCached(Prefixes) * prefix_cache::TokensPerBlock;
    Cache.store(Prefixes, Now);
    uint64_t Uncached = promptTokens(Run->Request) - Run->CachedTokens;
    Run->ReadyAt =
        Now + std::chrono::duration_cast<steady_clock::duration>(fractional_ms(
                  static_cast<double>(Uncached) * Options.PrefillMsPerToken));
    Running.push_back(std::move(Run));
  }
}

void batch_engine::emitToken(token_run &Run) {
  // Written by hand, as this line is the emulator's main cost. The text of a
  // token needs no escaping.
  Run.Output += "{\"token\":\"";
  Run.Output += tokenText(Run.PromptHash, Run.Next++);
  Run.Output += "\",\"version\":" + std::to_string(Options.Version) + "}\n";
}

void batch_engine::finish(const run_pointer &Run, run_end End) {
  Run->End = End;
  Cut += End != run_end::Done && End != run_end::Cancelled;
  std::erase(Running, Run);
  std::erase_if(Waiting,
                [&](const auto &Entry) { return Entry.second == Run; });
  ById.erase(Run->Request.Id);
  Ended.push_back(
      {Run->Request.Id, Run->Next - Run->Request.ResumeTokens, End});
  if (Ended.size() > MaxEndedRuns)
    Ended.pop_front();
  if (Run->Wake)
    Run->Wake();
}

void batch_engine::finishAll(run_end End) {
  while (!ById.empty())
    finish(run_pointer(ById.begin()->second), End);
}

bool batch_engine::orderLoad(load_order Order) {
  Order.Accepted = !Options.ChecksFence || Order.Fence >= LastFence;
  if (Order.Accepted) {
    if (Options.ChecksFence)
      LastFence = Order.Fence;
    State = engine_state::Loading;
  }
  bool Accepted = Order.Accepted;
  Orders.push_back(std::move(Order));
  if (Orders.size() > MaxOrders)
    Orders.pop_front();
  return Accepted;
}

void batch_engine::finishLoad(const load_order &Order, bool Fetched,
                              time_point Now) {
  if (!Fetched || SwapFails) {
    SwapFails = false;
    State = engine_state::Failed;
    finishAll(run_end::SwapFailed);
    return;
  }
  Options.Model = Order.Model;
  Options.Version = Order.Version;
  State = engine_state::Ready;
  // Cached prefixes belong to the former weights.
  Cache.clear(Now);
}

void batch_engine::crash(time_point Now) {
  finishAll(run_end::Crashed);
  Cache.clear(Now);
}

engine_load batch_engine::presentLoad() const {
  engine_load Load;
  Load.Running = Running.size();
  Load.Waiting = Waiting.size();
  double Tokens = 0;
  for (const run_pointer &Run : Running)
    Tokens += static_cast<double>(promptTokens(Run->Request) + Run->Next);
  double Capacity = KvTokensPerSlot * static_cast<double>(Options.Slots);
  Load.KvUsed = std::min(1.0, Tokens / Capacity);
  return Load;
}

void batch_engine::recordLoad(time_point Now) {
  milliseconds Spacing = Options.LoadLag / static_cast<int>(MaxLoads / 4);
  if (!Loads.empty() && Now - Loads.back().first < Spacing)
    return;
  Loads.emplace_back(Now, presentLoad());
  if (Loads.size() > MaxLoads)
    Loads.pop_front();
}

engine_load batch_engine::load(time_point Now) const {
  if (Options.LoadLag.count() == 0 || Loads.empty())
    return presentLoad();
  auto It = std::find_if(Loads.rbegin(), Loads.rend(), [&](const auto &Entry) {
    return Entry.first + Options.LoadLag <= Now;
  });
  const auto &[Time, Load] = It == Loads.rend() ? Loads.front() : *It;
  engine_load Result = Load;
  Result.Age = std::chrono::duration_cast<milliseconds>(Now - Time);
  return Result;
}

std::vector<run_summary> batch_engine::runs() const {
  std::vector<run_summary> Runs(Ended.begin(), Ended.end());
  for (const auto &[Id, Run] : ById)
    Runs.push_back({Id, Run->Next - Run->Request.ResumeTokens, Run->End});
  return Runs;
}

} // namespace standins
