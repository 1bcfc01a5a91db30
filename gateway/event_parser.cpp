#include "gateway/event_parser.h"

#include "base/identifier.h"

namespace cardamom {

void event_parser::feed(std::string_view Bytes) {
  while (!Bytes.empty() && !Failed) {
    const size_t End = Bytes.find('\n');
    Line += Bytes.substr(0, End);
    if (Line.size() + Event.Raw.size() > MaxEventBytes) {
      abandon();
      return;
    }
    if (End == std::string_view::npos)
      return;
    Event.Raw += Line;
    Event.Raw += '\n';
    Bytes.remove_prefix(End + 1);
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    parseLine();
    Line.clear();
  }
}

void event_parser::abandon() {
  Failed = true;
  // Assigning an empty value would keep the memory.
  std::string().swap(Line);
  const stream_event Discarded = std::move(Event);
  Event = {};
}

void event_parser::parseLine() {
  if (Line.empty()) {
    dispatch();
    return;
  }
  const size_t Colon = Line.find(':');
  // A line that begins with a colon is a comment.
  if (Colon == 0)
    return;
  const std::string_view Field = std::string_view(Line).substr(0, Colon);
  std::string_view Value;
  if (Colon != std::string::npos)
    Value = std::string_view(Line).substr(Colon + 1);
  if (Value.starts_with(' '))
    Value.remove_prefix(1);
  HasFields = true;
  if (Field == "data") {
    if (HasData)
      Event.Data += '\n';
    Event.Data += Value;
    HasData = true;
  } else if (Field == "id") {
    Event.Id = parseWholeNumber(Value);
  } else if (Field == VersionField) {
    Event.Version = parseWholeNumber(Value);
  }
}

void event_parser::dispatch() {
  if (!HasFields) {
    Event.Raw.clear();
    return;
  }
  const stream_event Complete = std::move(Event);
  Event = {};
  HasData = false;
  HasFields = false;
  OnEvent(Complete);
}

} // namespace cardamom
