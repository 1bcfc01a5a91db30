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
  /// Bound on one read or write with its retries.
  milliseconds Timeout{10000};
  /// Pause between attempts, at least the store's retry hint.
  milliseconds Pause{100};
  /// Empty = sleep.
  std::function<void(milliseconds)> Sleep = {};
};

struct current_configuration {
  /// False when the store could not be read; Message says why.
  bool Available = false;
  /// Version 0 when there is none yet.
  configuration_document Document = {};
  /// Why the value in the store is refused; empty when it is well-formed.
  std::string ParseError = {};
  std::string Message = {};
};

enum class edit_outcome {
  /// The edit is in force.
  Applied,
  /// The edit took effect, and a later edit that knew it has replaced it.
  Replaced,
  /// Another edit was accepted first; this one has no effect and never will.
  Conflict,
  /// The store accepted no write; this one has no effect and never will.
  Unavailable,
  /// Nobody can tell, for example because the store went down during the
  /// write.
  Unknown,
};

/// Returns a name such as "applied", as in --json.
std::string_view toString(edit_outcome Outcome);

struct edit_result {
  edit_outcome Outcome = edit_outcome::Unknown;
  /// Version of the edit, once it was in force; otherwise 0.
  uint64_t Version = 0;
  /// After Replaced and Conflict: what is in force now, when it could be read.
  std::optional<configuration_document> Current = {};
  std::string Message = {};
};

class configuration_editor {
public:
  /// Store must outlive the editor.
  configuration_editor(store_client &Store, editor_options Options);

  current_configuration read();

  /// Writes Edit on top of Base, on condition that Base's version is the
  /// present one, and finds out whether that took effect. EditId must be
  /// unique. Throws config_error when the document is too large.
  ///
  /// After a lost answer, the object is read back. When it is unchanged the
  /// first write may still be on its way, so the same conditional write is
  /// repeated: at most one of them takes effect, and afterwards the outcome is
  /// certain.
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

/// Whether EditId is in force, has been replaced, or was never accepted, going
/// by the history of Current. Unknown when the history, which is bounded, does
/// not reach back to the version BaseVersion that the edit was based on.
edit_result findEditOutcome(const configuration_document &Current,
                            std::string_view EditId, uint64_t BaseVersion);

} // namespace cardamom

#endif // CARDAMOM_CTL_CONFIGURATION_EDITOR_H
