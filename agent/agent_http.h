/// \file
/// HTTP endpoints of an agent for operators: /healthz, /readyz, /metrics and
/// /status.

#ifndef CARDAMOM_AGENT_AGENT_HTTP_H
#define CARDAMOM_AGENT_AGENT_HTTP_H

#include <cstdint>
#include <memory>
#include <string>

namespace cardamom {

class agent;

/// Serves from construction to destruction. The agent must outlive it.
class agent_http {
public:
  /// Throws std::system_error if it cannot listen.
  agent_http(const agent &Agent, const std::string &Host, uint16_t Port);
  ~agent_http();
  agent_http(const agent_http &) = delete;
  agent_http &operator=(const agent_http &) = delete;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace cardamom

#endif // CARDAMOM_AGENT_AGENT_HTTP_H
