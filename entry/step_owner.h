/// \file
/// Runs the steps of one trainer: holds the trainer's lease, dispatches a run
/// for every sample, and returns finished samples when the trainer requests
/// them. Such a request is called a draw.
///
/// Use:
///   step_owner Owner({.Trainer = "t1", .Lease = {...}, .Dispatch = ...});
///   Owner.call(Call, false, [](step_answer Answer) { ... }, Now);
///   Owner.tick(Now);     // about every 20 ms
///
/// Each draw lists the samples that the trainer has received, and only then are
/// their outputs discarded here. A repeated draw therefore returns samples
/// whose response was lost again, but never a sample that has arrived. All
/// calls and callbacks run on one thread.

#ifndef CARDAMOM_ENTRY_STEP_OWNER_H
#define CARDAMOM_ENTRY_STEP_OWNER_H

#include "config/configuration.h"
#include "entry/dispatch.h"
#include "entry/http_frontend.h"
#include "entry/http_reply.h"
#include "entry/rollout_tracker.h"
#include "entry/step_samples.h"
#include "entry/trainer_lease.h"
#include "policy/straggler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

struct step_answer {
  http_reply Reply;
  /// When set, the call must be forwarded to the owner at this inner address.
  std::string ForwardTo;
};

/// A run that an agent retains and that an earlier owner started.
struct retained_run {
  std::string Upstream;
  std::string RequestId;
  std::string Sample;
};

struct step_owner_options {
  using run_callback =
      std::function<void(const run_result &Run, time_point Now)>;
  using find_callback = std::function<void(
      const std::vector<retained_run> &Runs, time_point Now)>;

  std::string Trainer;
  /// OnUpdated is set by step_owner.
  trainer_lease_options Lease;
  std::function<std::shared_ptr<const configuration>()> Config;
  /// The next five forward to the dispatcher. Callbacks run later, never before
  /// these functions return.
  std::function<dispatch_id(dispatch_call Call,
                            std::shared_ptr<run_progress> Progress,
                            run_callback OnEnd)>
      Dispatch;
  std::function<void(dispatch_id)> Cancel;
  std::function<void(dispatch_id)> Abandon;
  std::function<void(dispatch_id)> Detach;
  std::function<void(const std::string &Address, const std::string &RunId)>
      Acknowledge;
  /// Queries the agents of a pool for retained runs whose sample name starts
  /// with Prefix.
  std::function<void(const std::string &Pool, const std::string &Prefix,
                     find_callback OnFound)>
      FindRuns;
  std::function<double(const std::string &Pool, double Work,
                       uint64_t MinVersion, const std::string &Except,
                       time_point Now)>
      PredictMs;
  std::function<std::vector<upstream_view>(const std::string &Pool)>
      UpstreamsOfPool;
  /// Newest weight version that the trainer has published; 0 = none. Optional.
  std::function<uint64_t()> NewestWeights;
  std::function<std::string()> NewRequestId;
  straggler_options Straggler;
};

class step_owner {
public:
  using answer_callback = std::function<void(step_answer Answer)>;

  explicit step_owner(step_owner_options Options);
  ~step_owner();
  step_owner(const step_owner &) = delete;
  step_owner &operator=(const step_owner &) = delete;

  /// Handles a submission or a draw. Answer is called exactly once, possibly
  /// later. A call that was forwarded here is not forwarded again.
  void call(const trainer_call &Call, bool Forwarded, answer_callback Answer,
            time_point Now);
  void tick(time_point Now);
  /// Releases the lease. Runs continue on their agents, where the next owner
  /// finds them.
  void release(time_point Now);
  /// What release() still waits for; empty when it has finished.
  [[nodiscard]] std::string waitingFor() const;
  [[nodiscard]] nlohmann::json status() const;

private:
  struct waiting_call {
    trainer_call Call;
    bool Forwarded = false;
    answer_callback Answer;
  };
  struct waiting_draw {
    uint64_t Step = 0;
    draw_request Draw;
    answer_callback Answer;
    time_point Deadline;
  };
  /// An open step.
  struct active_step {
    active_step(uint64_t Step, step_submission Submission)
        : Samples(Step, std::move(Submission)) {}
    step_samples Samples;
    /// While set, no run starts: the owner waits until the agents have listed
    /// their retained runs, but at most until this time.
    std::optional<time_point> AdoptDeadline;
    time_point NextStragglerCheck{};
    /// Time of the last draw response that gave the trainer all samples that it
    /// did not have.
    std::optional<time_point> CompleteSince;
  };

  void onLeaseUpdated(time_point Now);
  void serve(const trainer_call &Call, bool Forwarded,
             const answer_callback &Answer, time_point Now);
  http_reply submit(const trainer_call &Call, time_point Now);
  void draw(const trainer_call &Call, const answer_callback &Answer,
            time_point Now);
  std::optional<http_reply> refuseDraw(const trainer_call &Call,
                                       const draw_request &Draw,
                                       time_point Now);
  void markDelivered(active_step &Step,
                     const std::vector<sample_key> &Received);
  /// Responds to the waiting draw if samples can be delivered or all have been;
  /// with Force, responds in any case.
  void answerDraw(bool Force, time_point Now);
  std::string drawBody(active_step &Step, const draw_request &Draw,
                       const std::vector<step_sample *> &Deliverable,
                       time_point Now);

  void observeRollout(time_point Now);
  void evictSteps(uint64_t NewStep);
  void dropStep(active_step &Step, bool CancelRuns);
  void dropAll();
  void adopt(uint64_t Step, const std::vector<retained_run> &Runs,
             time_point Now);

  void dispatchWaiting(active_step &Step, time_point Now);
  [[nodiscard]] std::string sampleName(uint64_t Step,
                                       const sample_key &Key) const;
  [[nodiscard]] dispatch_call makeCall(const active_step &Step,
                                       const step_sample &Sample,
                                       const trainer_rule &Rule,
                                       time_point Now) const;
  void startRun(active_step &Step, step_sample &Sample, dispatch_call Call,
                time_point Now);
  void onRunEnded(uint64_t Step, sample_key Key, dispatch_id Id,
                  const run_result &Run, time_point Now);
  void startScoring(active_step &Step, step_sample &Sample, time_point Now);
  void onScored(uint64_t Step, sample_key Key, dispatch_id Id,
                const run_result &Run, time_point Now);
  void acknowledgeComplete(active_step &Step, time_point Now);
  void retryScoring(active_step &Step, time_point Now);
  void cancelStale(active_step &Step);
  void moveStragglers(active_step &Step, time_point Now);
  void moveGroupStragglers(active_step &Step, size_t First, size_t Count,
                           time_point Now);
  [[nodiscard]] sample_progress progressOf(const step_sample &Sample,
                                           time_point Now) const;
  [[nodiscard]] trainer_rule rule() const;
  [[nodiscard]] unsigned readySlots(const std::string &Pool,
                                    uint64_t MinVersion) const;
  /// Lowest weight version that a new run may start with.
  [[nodiscard]] uint64_t minVersion(const active_step &Step,
                                    const trainer_rule &Rule,
                                    time_point Now) const;
  active_step *findStep(uint64_t Step);
  step_sample *findSampleOfRun(uint64_t Step, const sample_key &Key,
                               dispatch_id Id);

  step_owner_options Options;
  trainer_lease Lease;
  straggler_finder Stragglers;
  rollout_tracker Rollout;
  std::vector<waiting_call> WaitingCalls;
  std::optional<waiting_draw> WaitingDraw;
  std::map<uint64_t, std::unique_ptr<active_step>> Steps;
  /// Highest weight version in the trainer's submissions and draws.
  uint64_t TrainerVersion = 0;
  bool Releasing = false;
};

} // namespace cardamom

#endif // CARDAMOM_ENTRY_STEP_OWNER_H
