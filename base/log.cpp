#include "base/log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <stdexcept>

namespace cardamom {

void initLog(std::string_view ProcessName, std::string_view Level) {
  const std::string Name(Level);
  const auto Parsed = spdlog::level::from_str(Name);
  // from_str() returns `off` for unknown names.
  if (Parsed == spdlog::level::off && Name != "off")
    throw std::invalid_argument("log level \"" + Name +
                                "\" is not one of trace, debug, info, warn, "
                                "error, off");
  static constexpr size_t QueuedLines = 8192;
  static constexpr size_t WriterThreads = 1;
  spdlog::init_thread_pool(QueuedLines, WriterThreads);
  auto Logger =
      spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("cardamom");
  Logger->set_pattern("ts=%Y-%m-%dT%H:%M:%S.%e level=%l process=" +
                      std::string(ProcessName) + " %v");
  Logger->set_level(Parsed);
  Logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(Logger));
}

void flushLog() { spdlog::shutdown(); }

static bool needsQuotes(std::string_view Value) {
  return Value.empty() ||
         Value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

static std::string formatLine(std::string_view Event,
                              std::initializer_list<log_field> Fields) {
  std::string Line = "event=";
  Line += Event;
  for (const log_field &Field : Fields) {
    Line += ' ';
    Line += Field.Key;
    Line += '=';
    if (!needsQuotes(Field.Value)) {
      Line += Field.Value;
      continue;
    }
    Line += '"';
    for (char C : Field.Value) {
      if (C == '"' || C == '\\')
        Line += '\\';
      Line += (C == '\n' || C == '\r') ? ' ' : C;
    }
    Line += '"';
  }
  return Line;
}

void logInfo(std::string_view Event, std::initializer_list<log_field> Fields) {
  spdlog::info("{}", formatLine(Event, Fields));
}

void logError(std::string_view Event, std::initializer_list<log_field> Fields) {
  spdlog::error("{}", formatLine(Event, Fields));
}

} // namespace cardamom
