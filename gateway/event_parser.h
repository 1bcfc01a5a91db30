/// \file
/// Incremental parser for server-sent events (text/event-stream).
///
/// Use:
///   event_parser Parser("version-field", [](const stream_event &Event) {...});
///   Parser.feed(Bytes); // chunks may be split anywhere, also inside an event
///
/// An event is dispatched only once its terminating blank line has been read;
/// an incomplete event at the end of the stream is discarded with the parser.
/// A stream with a larger event than MaxEventBytes is not read on.
/// Runs in time linear in the input.

#ifndef CARDAMOM_GATEWAY_EVENT_PARSER_H
#define CARDAMOM_GATEWAY_EVENT_PARSER_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cardamom {

struct stream_event {
  /// Value of the id field; empty when there is none or it is not a number.
  std::optional<uint64_t> Id;
  /// Values of the data fields, joined by line feeds.
  std::string Data;
  /// Weight version that applies from this event on, if the event names one.
  std::optional<uint64_t> Version;
  /// Bytes of the event as received, including the terminating blank line.
  std::string Raw;
};

class event_parser {
public:
  event_parser(std::string VersionField,
               std::function<void(const stream_event &)> OnEvent)
      : VersionField(std::move(VersionField)), OnEvent(std::move(OnEvent)) {}

  /// Maximum size of an event, including comments before it.
  static constexpr size_t MaxEventBytes = size_t(1) << 20;

  void feed(std::string_view Bytes);
  /// Gives up the stream and frees what is held of it.
  void abandon();
  /// Whether the stream contains an event that is too large, or has been
  /// abandoned.
  [[nodiscard]] bool failed() const { return Failed; }
  /// Memory in bytes held for the event that is not complete yet.
  [[nodiscard]] size_t bufferedBytes() const {
    return Line.capacity() + Event.Raw.capacity() + Event.Data.capacity();
  }
  /// Whether the input so far ends between two events.
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
  bool Failed = false;
};

} // namespace cardamom

#endif // CARDAMOM_GATEWAY_EVENT_PARSER_H
