/// \file
/// The pages "/status", "/explain" and "/trace/{id}" of an entry, as JSON.

#ifndef CARDAMOM_ENTRY_OPERATOR_PAGES_H
#define CARDAMOM_ENTRY_OPERATOR_PAGES_H

#include "entry/http_reply.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace httplib {
struct Request;
} // namespace httplib

namespace cardamom {

class dispatcher;
class trace_ring;
class upstream_directory;
struct configuration;

struct operator_pages_options {
  std::string Name;
  uint64_t Incarnation = 0;
  std::string FailureDomain;
  const upstream_directory *Directory = nullptr;
  const trace_ring *Trace = nullptr;
  dispatcher *Dispatcher = nullptr;
  std::function<bool()> Ready;
  std::function<bool()> Draining;
  std::function<size_t()> InFlight;
  std::function<std::string()> WaitingFor;
  std::function<nlohmann::json()> Trainers;
};

class operator_pages {
public:
  explicit operator_pages(operator_pages_options Options);

  /// Returns std::nullopt when the path is not one of these pages.
  [[nodiscard]] std::optional<http_reply>
  page(const httplib::Request &Request) const;

private:
  [[nodiscard]] http_reply status() const;
  [[nodiscard]] http_reply explain(const httplib::Request &Request) const;
  [[nodiscard]] http_reply trace(const std::string &RequestId) const;

  operator_pages_options Options;
};

} // namespace cardamom

#endif // CARDAMOM_ENTRY_OPERATOR_PAGES_H
