#include "ctl/configuration_editor.h"

#include "config/configuration.h"
#include "store/store_client.h"

#include <algorithm>
#include <thread>

namespace cardamom {

/// One edit while its outcome is being found out.
struct configuration_editor::attempt {
  const configuration_document &Base;
  std::string_view EditId;
  time_point Deadline;
  /// Whether a write was sent and its answer was lost.
  bool WriteMayBePending = false;
};

std::string_view toString(edit_outcome Outcome) {
  switch (Outcome) {
  case edit_outcome::Applied:
    return "applied";
  case edit_outcome::Replaced:
    return "replaced";
  case edit_outcome::Conflict:
    return "conflict";
  case edit_outcome::Unavailable:
    return "unavailable";
  case edit_outcome::Unknown:
    break;
  }
  return "unknown";
}

configuration_editor::configuration_editor(store_client &Store,
                                           editor_options Options)
    : Store(Store), Options(std::move(Options)) {
  if (!this->Options.Sleep)
    this->Options.Sleep = [](milliseconds Pause) {
      std::this_thread::sleep_for(Pause);
    };
}

/// Returns false when the deadline would pass during the pause.
bool configuration_editor::pause(time_point Deadline, milliseconds Hint) {
  const milliseconds Pause = std::max(Hint, Options.Pause);
  if (steady_clock::now() + Pause >= Deadline)
    return false;
  Options.Sleep(Pause);
  return true;
}

static current_configuration
toCurrentConfiguration(const store_result &Result) {
  current_configuration Current{.Available = true};
  if (Result.Status == store_status::NotFound)
    return Current;
  Current.Document.Version = Result.Version;
  try {
    Current.Document = readDocument(Result.Value, Result.Version);
  } catch (const config_error &Error) {
    Current.ParseError = Error.what();
  }
  return Current;
}

current_configuration configuration_editor::read() {
  const time_point Deadline = steady_clock::now() + Options.Timeout;
  while (true) {
    const store_result Result = Store.get(ConfigurationKey);
    if (Result.Status == store_status::Ok ||
        Result.Status == store_status::NotFound)
      return toCurrentConfiguration(Result);
    if (!pause(Deadline, Result.RetryAfter))
      return {.Message = Result.Message};
  }
}

edit_result findEditOutcome(const configuration_document &Current,
                            std::string_view EditId, uint64_t BaseVersion) {
  if (Current.EditId == EditId)
    return {.Outcome = edit_outcome::Applied, .Version = Current.Version};
  edit_result Result;
  Result.Current = Current;
  const auto &History = Current.History;
  const auto It = std::find_if(
      History.begin(), History.end(),
      [&](const history_entry &Entry) { return Entry.EditId == EditId; });
  if (It != History.end()) {
    Result.Outcome = edit_outcome::Replaced;
    Result.Version = It->Version;
    return Result;
  }
  // Entries are dropped only from a full history, and only the oldest.
  const bool ReachesBase = History.size() < MaxHistoryEntries ||
                           History.back().Version <= BaseVersion;
  Result.Outcome = ReachesBase ? edit_outcome::Conflict : edit_outcome::Unknown;
  if (!ReachesBase)
    Result.Message = "the history no longer reaches back to the edit";
  return Result;
}

/// Looks for the edit after a lost answer. Returns nothing while a write may
/// still be on its way, that is, while the base version is the present one, or
/// when the store cannot be read.
std::optional<edit_result>
configuration_editor::resolveLostResponse(const attempt &Attempt) {
  const store_result Read = Store.get(ConfigurationKey);
  if (Read.Status != store_status::Ok && Read.Status != store_status::NotFound)
    return std::nullopt;
  const current_configuration Current = toCurrentConfiguration(Read);
  if (Current.Document.Version == Attempt.Base.Version)
    return std::nullopt;
  if (Read.Status == store_status::NotFound)
    return edit_result{.Message = "the configuration has been deleted"};
  if (!Current.ParseError.empty())
    return edit_result{.Message = Current.ParseError};
  return findEditOutcome(Current.Document, Attempt.EditId,
                         Attempt.Base.Version);
}

/// No write of this edit can have been accepted. Who was faster is for the
/// operator's information only.
edit_result configuration_editor::conflictResult(const attempt &Attempt) {
  edit_result Result{.Outcome = edit_outcome::Conflict};
  const store_result Read = Store.get(ConfigurationKey);
  if (Read.Status == store_status::Ok)
    Result.Current = toCurrentConfiguration(Read).Document;
  return Result;
}

edit_result configuration_editor::write(const configuration_document &Base,
                                        const configuration_edit &Edit) {
  const std::string Body = formatDocument(applyEdit(Base, Edit));
  attempt Attempt{.Base = Base,
                  .EditId = Edit.EditId,
                  .Deadline = steady_clock::now() + Options.Timeout};
  while (true) {
    const store_result Written =
        Store.put(ConfigurationKey, Body, Base.Version);
    if (Written.Status == store_status::Ok)
      return {.Outcome = edit_outcome::Applied, .Version = Written.Version};
    if (Written.Status == store_status::Conflict && !Attempt.WriteMayBePending)
      return conflictResult(Attempt);
    Attempt.WriteMayBePending |= Written.Status == store_status::Unknown;
    if (Attempt.WriteMayBePending) {
      if (auto Result = resolveLostResponse(Attempt))
        return *std::move(Result);
    }
    if (!pause(Attempt.Deadline, Written.RetryAfter))
      return {.Outcome = Attempt.WriteMayBePending ? edit_outcome::Unknown
                                                   : edit_outcome::Unavailable,
              .Message = Written.Message};
  }
}

} // namespace cardamom
