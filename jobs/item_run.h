/// \file
/// One run of an item on one replica.
///
/// Usage:
///   item_run Run({...}, Request, Replica, Text, Now,
///                [](item_run_end End) { ... });
///   // Destroying the run closes its connection, so the replica cancels it.
///
/// Checks that the response belongs to the item, that events arrive in order
/// without gaps, and that each event has the version of the weights that
/// generated it.

#ifndef CARDAMOM_JOBS_ITEM_RUN_H
#define CARDAMOM_JOBS_ITEM_RUN_H

#include "gateway/event_parser.h"
#include "gateway/upstream_request.h"
#include "http/http_client.h"
#include "policy/buffer_charge.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace cardamom {

struct replica;

/// Text that an item's runs have generated so far.
struct item_text {
  std::string Text;
  /// Id of the last event in Text.
  std::optional<uint64_t> LastEvent;
  uint64_t Events = 0;
  std::set<uint64_t> Versions;
  /// Media type of the last response that added to Text; empty if none did
  /// since the text was read from a checkpoint.
  std::optional<std::string> MediaType;
};

enum class item_run_outcome {
  /// The text is complete.
  Complete,
  /// The replica has not executed the request; not counted as a failure.
  Refused,
  /// The process at the address is not the expected replica.
  Misdirected,
  /// The replica reported that processing failed (status 500); counts as an
  /// attempt.
  Failed,
  /// The replica reported that the item cannot be processed.
  Impossible,
  /// The stream ended early or was invalid, or the response had another error
  /// status, which may be due to load; the text received so far remains valid.
  Broken,
  /// The weights are older than the job allows, or not of the single version
  /// that the job requires.
  TooOld,
};

std::string_view toString(item_run_outcome Outcome);

struct item_run_end {
  item_run_outcome Outcome = item_run_outcome::Broken;
  std::string Detail;
};

struct item_run_options {
  http_client &Client;
  const upstream_protocol &Protocol;
  /// Asked before the request is written to a new connection.
  std::function<bool()> MayWrite;
  std::string_view EventVersionField;
  uint64_t MinVersion = 0;
  /// Whether all of the text must come from one version of the weights.
  bool SingleVersion = false;
  /// A longer text is discarded, because its result would not fit into an
  /// object of the store.
  size_t MaxTextBytes = 900000;
  /// Bounds what is held of events that are not complete yet. Shared with other
  /// clients.
  std::shared_ptr<buffer_budget> Buffers =
      std::make_shared<buffer_budget>(buffer_budget_options{});
  /// Called with the version in the response headers and with that of each
  /// event that has one.
  std::function<void(uint64_t)> OnVersion;
  /// Called for each event but the first, with the time since the one before.
  std::function<void(std::chrono::duration<double, std::milli>)> OnInterval;
  /// Called with the head of the response, whatever it is.
  std::function<void(const upstream_head &)> OnHead;
};

class item_run {
public:
  /// Text must outlive the run. OnEnd is called once, on the event loop's
  /// thread, unless the run is destroyed before.
  item_run(item_run_options Options, const upstream_request &Request,
           const replica &Replica, item_text &Text, time_point Now,
           std::function<void(item_run_end)> OnEnd);

  [[nodiscard]] time_point startedAt() const { return StartedAt; }
  /// Time of the last event, or of the start.
  [[nodiscard]] time_point progressAt() const { return ProgressAt; }
  [[nodiscard]] std::optional<time_point> firstEventAt() const {
    return FirstEventAt;
  }
  /// Number of events received in this run.
  [[nodiscard]] uint64_t events() const { return Events; }
  [[nodiscard]] const std::string &replicaId() const { return ReplicaId; }

private:
  void onHead(const http_response &Response);
  void onEvent(const stream_event &Event);
  void onEnd(const call_completion &End);
  void end(item_run_outcome Outcome, std::string Detail);

  item_run_options Options;
  std::string RequestId;
  std::string ReplicaId;
  item_text &Text;
  std::function<void(item_run_end)> OnEnd;
  event_parser Parser;
  buffer_charge Charge;
  time_point StartedAt;
  time_point ProgressAt;
  std::optional<time_point> FirstEventAt;
  uint64_t Events = 0;
  std::optional<uint64_t> Version;
  std::string MediaType;
  bool Streaming = false;
  bool Ended = false;
  call_handle Call;
};

} // namespace cardamom

#endif // CARDAMOM_JOBS_ITEM_RUN_H
