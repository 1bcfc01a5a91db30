#include "ctl/configuration_editor.h"

#include "config/configuration.h"
#include "store/store_client.h"

#include <algorithm>
#include <thread>

namespace cardamom {

/// State of one edit until its outcome is known.
struct configuration_editor::attempt {
  const configuration_document &Base;
  std::string_view EditId;
  time_point Deadline;
  /// Whether the response to a write was lost, so that the write may have been
  /// or may still be accepted.
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

/// Waits before the next attempt. Returns false without waiting if the deadline
/// would pass in the meantime.
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
  // Only a full history drops entries, the oldest first.
  const bool ReachesBase = History.size() < MaxHistoryEntries ||
                           History.back().Version <= BaseVersion;
  Result.Outcome = ReachesBase ? edit_outcome::Conflict : edit_outcome::Unknown;
  if (!ReachesBase)
    Result.Message = "the history no longer reaches back to the version the "
                     "edit was based on";
  return Result;
}

/// Reads the configuration after a lost response and looks for the edit.
/// Returns nothing if the base version is still the current one, as a write may
/// still be in flight, or if the store cannot be read.
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

/// Returns the result for an edit that was certainly not accepted. The current
/// configuration is read only to tell the operator which edit was accepted.
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
