/// \file
/// Conditional edits of the configuration in the store.
///
/// Use:
///   configuration_editor Editor(Store, {});
///   const current_configuration Current = Editor.read();
///   const edit_result Result = Editor.write(Current.Document, Edit);

#ifndef CARDAMOM_CTL_CONFIGURATION_EDITOR_H
#define CARDAMOM_CTL_CONFIGURATION_EDITOR_H

#include "base/time.h"
#include "config/configuration_document.h"

#include <functional>
#include <optional>
#include <string>

namespace cardamom {

class store_client;
struct store_result;

struct editor_options {
  /// Timeout of one read or write, including retries.
  milliseconds Timeout{10000};
  /// Minimum delay between attempts; a longer retry hint of the store is
  /// respected.
  milliseconds Pause{100};
  /// Called to wait between attempts; if empty, the thread sleeps.
  std::function<void(milliseconds)> Sleep = {};
};

struct current_configuration {
  /// False if the store could not be read; Message then has the reason.
  bool Available = false;
  /// Has version 0 if no configuration has been applied yet.
  configuration_document Document = {};
  /// Error from parsing the document in the store; empty if it is valid.
  std::string ParseError = {};
  std::string Message = {};
};

enum class edit_outcome {
  /// The edit is the current configuration.
  Applied,
  /// The edit was accepted and has since been replaced by a later edit that was
  /// based on it.
  Replaced,
  /// Another edit was accepted first; this one was not and will not be
  /// accepted.
  Conflict,
  /// The store accepted no write; this edit was not and will not be accepted.
  Unavailable,
  /// It is not known whether the edit was accepted, for example because the
  /// store became unavailable during the write.
  Unknown,
};

/// Returns the name in the JSON output, such as "applied".
std::string_view toString(edit_outcome Outcome);

struct edit_result {
  edit_outcome Outcome = edit_outcome::Unknown;
  /// Version that the store assigned to the edit; 0 if it was not accepted or
  /// the outcome is unknown.
  uint64_t Version = 0;
  /// For Replaced, Conflict and Unknown: the current document, if it was read.
  std::optional<configuration_document> Current = {};
  std::string Message = {};
};

class configuration_editor {
public:
  /// Store must outlive the editor.
  configuration_editor(store_client &Store, editor_options Options);

  current_configuration read();

  /// Writes Edit if the current version is still that of Base, and determines
  /// whether the write was accepted. EditId must be unique. Throws config_error
  /// if the document is too large or invalid.
  ///
  /// If a response is lost, the object is read back. If its version is
  /// unchanged, the first write may still be in flight, so the same conditional
  /// write is sent again: at most one of the writes can succeed, and once the
  /// version has changed the history shows the outcome.
  edit_result write(const configuration_document &Base,
                    const configuration_edit &Edit);

private:
  struct attempt;
  bool pause(time_point Deadline, milliseconds Hint);
  std::optional<edit_result> resolveLostResponse(const attempt &Attempt);
  edit_result conflictResult(const attempt &Attempt);

  store_client &Store;
  editor_options Options;
};

/// Determines from the history of Current whether EditId is the current edit
/// (Applied), has been replaced, or was not accepted (Conflict). The history is
/// bounded; the outcome is Unknown if it does not reach back to BaseVersion,
/// the version that the edit was based on.
edit_result findEditOutcome(const configuration_document &Current,
                            std::string_view EditId, uint64_t BaseVersion);

} // namespace cardamom

#endif // CARDAMOM_CTL_CONFIGURATION_EDITOR_H
