#include "jobs/ended_job_compactor.h"

#include "base/log.h"
#include "base/metrics.h"
#include "http/event_loop.h"
#include "jobs/job_document.h"

#include <algorithm>

namespace cardamom {

ended_job_compactor::ended_job_compactor(ended_job_compactor_options Options)
    : Options(std::move(Options)) {}

ended_job_compactor::~ended_job_compactor() = default;

void ended_job_compactor::add(const stored_object &Object, size_t ItemCount) {
  if (Queue.size() >= Options.MaxQueued)
    return;
  entry Entry{.Name = Object.Name,
              .Revision = Object.Revision,
              .Stub = encodeJobStub(decodeJobDocument(Object), ItemCount)};
  // The end of a job may be stored twice, or the job listed again.
  const auto Queued =
      std::find_if(Queue.begin(), Queue.end(), [&](const entry &Other) {
        return Other.Name == Entry.Name;
      });
  if (Queued != Queue.end())
    *Queued = std::move(Entry);
  else
    Queue.push_back(std::move(Entry));
  if (!Writing && !Timer)
    scheduleNext(Options.Interval);
}

void ended_job_compactor::scheduleNext(milliseconds Delay) {
  Timer = Options.Loop.after(Delay, [this] {
    Timer.reset();
    Options.Store.whenReachable([this, Weak = std::weak_ptr<bool>(Alive)] {
      if (!Weak.expired())
        writeNext();
    });
  });
}

void ended_job_compactor::writeNext() {
  if (Writing || Queue.empty())
    return;
  entry Entry = std::move(Queue.front());
  Queue.pop_front();
  if (!Options.IsClosed(Entry.Name)) {
    Queue.push_back(std::move(Entry));
    scheduleNext(Options.Interval);
    return;
  }
  Writing = true;
  const object_request Request{.Op = object_op::Replace,
                               .Kind = Options.JobKind,
                               .Name = Entry.Name,
                               .Value = Entry.Stub,
                               .ExpectedRevision = Entry.Revision};
  Options.Store.call(Request,
                     [this, Weak = std::weak_ptr<bool>(Alive), Entry,
                      SentAt = event_loop::now()](const object_reply &Reply) {
                       if (!Weak.expired())
                         onWritten(Entry, Reply, SentAt);
                     });
}

void ended_job_compactor::onWritten(entry Entry, const object_reply &Reply,
                                    time_point SentAt) {
  Writing = false;
  metrics::get()
      .counter("ended_jobs_compacted_total", "outcome", toString(Reply.Outcome))
      .add();
  const bool MayRepeat = Reply.Outcome == object_outcome::Refused ||
                         Reply.Outcome == object_outcome::Unknown;
  // Because of the condition, a repeated write has no effect if the first one
  // had. After a conflict, the change is delivered and queued again if needed.
  if (MayRepeat)
    Queue.push_back(std::move(Entry));
  const bool Slow =
      MayRepeat || event_loop::now() - SentAt > Options.SlowResponse;
  if (!Queue.empty())
    scheduleNext(Slow ? Options.SlowStoreDelay : Options.Interval);
}

} // namespace cardamom
