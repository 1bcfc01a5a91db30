/// \file
/// Reads a stream of events (text/event-stream) piece by piece.
///
/// Use:
///   event_parser Parser("version-field", [](const stream_event &Event) {...});
///   Parser.feed(Bytes); // any split, also inside an event
///
/// An event counts only once its closing blank line has been read; the rest of
/// one that was cut is dropped with the parser. Linear in the input.

#ifndef CARDAMOM_GATEWAY_EVENT_PARSER_H
#define CARDAMOM_GATEWAY_EVENT_PARSER_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cardamom {

struct stream_event {
  /// Empty when the event has no number.
  std::optional<uint64_t> Id;
  /// Lines of data, joined by line feeds.
  std::string Data;
  /// Version of the weights from this event on, where it says so.
  std::optional<uint64_t> Version;
  /// The event as it came, with its closing blank line.
  std::string Raw;
};

class event_parser {
public:
  event_parser(std::string VersionField,
               std::function<void(const stream_event &)> OnEvent)
      : VersionField(std::move(VersionField)), OnEvent(std::move(OnEvent)) {}

  void feed(std::string_view Bytes);
  /// Whether no part of an event is waiting for its end.
  [[nodiscard]] bool atBoundary() const { return Line.empty() && !HasFields; }

private:
  void parseLine();
  void dispatch();

  std::string VersionField;
  std::function<void(const stream_event &)> OnEvent;
  std::string Line;
  stream_event Event;
  bool HasData = false;
  bool HasFields = false;
};

} // namespace cardamom

#endif // CARDAMOM_GATEWAY_EVENT_PARSER_H
