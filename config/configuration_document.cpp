#include "config/configuration_document.h"

#include "config/configuration.h"
#include "config/json_fields.h"

namespace cardamom {

using nlohmann::json;

static constexpr std::string_view DocumentName = "config/current";
static constexpr size_t MaxSummaryBytes = 200;
static constexpr size_t MaxAuthorBytes = 128;

static std::string readBoundedText(const json_fields &Fields,
                                   std::string_view Key, size_t MaxBytes) {
  std::string Text = Fields.text(Key);
  if (Text.empty() || Text.size() > MaxBytes)
    Fields.rejectValue(Key,
                       "1 to " + std::to_string(MaxBytes) + " bytes of text");
  return Text;
}

static history_entry readHistoryEntry(const std::string &Path,
                                      const json &Element) {
  const json_fields Fields(DocumentName, Path, Element,
                           {"edit_id", "author", "version", "time", "summary"});
  history_entry Entry;
  Entry.EditId = readBoundedText(Fields, "edit_id", MaxAuthorBytes);
  Entry.Author = readBoundedText(Fields, "author", MaxAuthorBytes);
  Entry.Version = Fields.number("version", 0, UINT64_MAX);
  Entry.Time = Fields.text("time");
  Entry.Summary = Fields.text("summary");
  return Entry;
}

configuration_document readDocument(std::string_view Json, uint64_t Version) {
  if (Json.size() > MaxConfigurationBytes)
    throwInputError({.File = DocumentName},
                    std::to_string(Json.size()) +
                        " bytes: allowed are at most 900000");
  const json Parsed = parseStrictJson(DocumentName, Json);
  const json_fields Fields(
      DocumentName, "", Parsed,
      {"edit_id", "author", "inventory", "rules", "history"});
  configuration_document Document;
  Document.Version = Version;
  Document.EditId = readBoundedText(Fields, "edit_id", MaxAuthorBytes);
  Document.Author = readBoundedText(Fields, "author", MaxAuthorBytes);
  Document.Inventory = Fields.text("inventory");
  Document.Rules = Fields.at("rules").dump();
  if (!Fields.has("history"))
    return Document;
  const json &History = Fields.array("history");
  if (History.size() > MaxHistoryEntries)
    throwInputError({.File = DocumentName, .Field = "history"},
                    std::to_string(History.size()) +
                        " elements: allowed are at most 50");
  for (const json &Element : History)
    Document.History.push_back(readHistoryEntry(
        "history[" + std::to_string(Document.History.size()) + "]", Element));
  if (!Document.History.empty() && Document.History.front().Version == 0)
    Document.History.front().Version = Version;
  return Document;
}

std::string formatDocument(const configuration_document &Document) {
  json History = json::array();
  for (const history_entry &Entry : Document.History)
    History.push_back({{"edit_id", Entry.EditId},
                       {"author", Entry.Author},
                       {"version", Entry.Version},
                       {"time", Entry.Time},
                       {"summary", Entry.Summary}});
  const json Object = {{"edit_id", Document.EditId},
                       {"author", Document.Author},
                       {"inventory", Document.Inventory},
                       {"rules", parseStrictJson("rules", Document.Rules)},
                       {"history", std::move(History)}};
  // By default, dump() throws for invalid UTF-8.
  std::string Json =
      Object.dump(-1, ' ', false, json::error_handler_t::replace);
  if (Json.size() > MaxConfigurationBytes)
    throwInputError({.File = DocumentName},
                    std::to_string(Json.size()) +
                        " bytes as JSON: allowed are at most 900000");
  // Throws if other processes could not read the document.
  readDocument(Json, Document.Version);
  return Json;
}

/// Returns valid UTF-8 of at most MaxBytes. Invalid bytes are replaced by
/// U+FFFD first, as that makes the text longer, and no character is split.
static std::string truncateUtf8(const std::string &Text, size_t MaxBytes) {
  const std::string Encoded =
      json(Text).dump(-1, ' ', false, json::error_handler_t::replace);
  std::string Valid = json::parse(Encoded).get<std::string>();
  if (Valid.size() <= MaxBytes)
    return Valid;
  size_t End = MaxBytes;
  const auto IsContinuation = [](char C) { return (C & 0xc0) == 0x80; };
  while (End > 0 && IsContinuation(Valid[End]))
    --End;
  Valid.resize(End);
  return Valid;
}

configuration_document applyEdit(const configuration_document &Current,
                                 const configuration_edit &Edit) {
  configuration_document Next;
  Next.EditId = Edit.EditId;
  Next.Author = truncateUtf8(Edit.Author, MaxAuthorBytes);
  Next.Inventory = Edit.Inventory;
  Next.Rules = Edit.Rules;
  Next.History.push_back(
      {.EditId = Edit.EditId,
       .Author = Next.Author,
       .Time = Edit.Time,
       .Summary = truncateUtf8(Edit.Summary, MaxSummaryBytes)});
  for (const history_entry &Entry : Current.History) {
    if (Next.History.size() == MaxHistoryEntries)
      break;
    Next.History.push_back(Entry);
  }
  return Next;
}

} // namespace cardamom
