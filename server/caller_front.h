/// \file
/// Takes callers' requests, finds their routes, and answers them.
///
/// Use:
///   caller_front Front({...});
///   Front.install(Config, Now);
///   Front.handle(Exchange, /*Forwarded=*/false); // for each request

#ifndef CARDAMOM_SERVER_CALLER_FRONT_H
#define CARDAMOM_SERVER_CALLER_FRONT_H

#include "gateway/protocols.h"
#include "gateway/route_table.h"
#include "http/http_server.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cardamom {

class job_desk;
class plain_caller;
struct verdict;
class plain_run;
class stream_caller;
struct stream_result;
struct plain_answer;

struct caller_front_options {
  plain_caller &Caller;
  stream_caller &Streams;
  job_desk &Desk;
  const gateway_protocols &Protocols;
  /// Uniform random number in [0, 1).
  std::function<double()> Random;
  /// What a caller is told to wait when no configuration is known.
  milliseconds RetryHint{300};
};

class caller_front {
public:
  explicit caller_front(caller_front_options Options);
  ~caller_front();
  caller_front(const caller_front &) = delete;
  caller_front &operator=(const caller_front &) = delete;

  /// Puts a configuration in force; a version that is not higher than the
  /// present one is ignored.
  bool install(const gateway_config &Config);
  [[nodiscard]] bool configured() const { return Routes != nullptr; }
  [[nodiscard]] const gateway_config &config() const { return Config; }
  [[nodiscard]] const route *findRoute(std::string_view Host,
                                       std::string_view Path) const;

  /// Forwarded: the request comes from another gateway and is not passed on.
  void handle(const exchange_ptr &Exchange, bool Forwarded);

private:
  struct pending;

  bool handleJobCall(const exchange_ptr &Exchange, bool Forwarded);
  void relay(const exchange_ptr &Exchange, const route &Route,
             inbound_request Request);
  void relayStream(const exchange_ptr &Exchange, const route &Route,
                   inbound_request Request);
  void onStreamEnd(uint64_t Id, const stream_result &Result);
  uint64_t addPending(const exchange_ptr &Exchange, const route &Route,
                      const std::string &RequestId);
  void refuseByVerdict(const pending &Pending, const verdict &Verdict);
  static milliseconds timeLimit(const route &Route,
                                const inbound_request &Request);
  void onAnswer(uint64_t Id, const plain_answer &Answer);
  void answerReplica(const pending &Pending, const plain_answer &Answer);
  void refuse(const exchange_ptr &Exchange, std::string_view RequestId,
              unsigned Status, std::string_view Reason,
              milliseconds RetryAfter = milliseconds(0));
  const std::string &chooseService(const route &Route) const;

  caller_front_options Options;
  gateway_config Config;
  std::unique_ptr<route_table> Routes;
  std::map<uint64_t, std::unique_ptr<pending>> Pending;
  uint64_t NextId = 0;
};

} // namespace cardamom

#endif // CARDAMOM_SERVER_CALLER_FRONT_H
