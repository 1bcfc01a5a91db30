#include "jobs/job_host_registry.h"

#include "base/log.h"

namespace cardamom {

job_host_registry::job_host_registry(job_host_registry_options Options)
    : Options(std::move(Options)) {}

void job_host_registry::add(const job_host &Host) {
  HostsWithJobs.insert(Host);
}

bool job_host_registry::known(const job_host &Host) const {
  return HostsWithJobs.contains(Host);
}

std::optional<object_request>
job_host_registry::missingRecord(const job_host &Host) const {
  if (RecordedHosts.contains(Host))
    return std::nullopt;
  return object_request{.Op = object_op::Create,
                        .Kind = Options.Kind,
                        .Name = Host.recordName(),
                        .Value = nlohmann::json::object()};
}

void job_host_registry::onRecorded(const job_host &Host) {
  add(Host);
  RecordedHosts.insert(Host);
}

void job_host_registry::find(const job_host &Host, time_point Now,
                             find_callback Done) {
  if (known(Host)) {
    Done(job_host_status::HasJobs);
    return;
  }
  const auto Miss = Misses.find(Host);
  const bool Reachable = Options.Store.reachable();
  // While the store cannot be asked, the last answer counts, so that other
  // services of the host stay available.
  if (Miss != Misses.end() &&
      (!Reachable || Now - Miss->second < Options.MissMaxAge)) {
    Done(job_host_status::NoJobs);
    return;
  }
  if (!Reachable) {
    Done(job_host_status::Unavailable);
    return;
  }
  std::vector<find_callback> &Calls = Waiting[Host];
  Calls.push_back(std::move(Done));
  if (Calls.size() > 1)
    return;
  Options.Store.call(
      {.Op = object_op::Get, .Kind = Options.Kind, .Name = Host.recordName()},
      [this, Weak = std::weak_ptr<bool>(Alive), Host,
       Now](const object_reply &Reply) {
        if (!Weak.expired())
          onRead(Host, Now, Reply);
      });
}

void job_host_registry::prefetch(const job_host &Host, time_point Now) {
  if (!known(Host) && !Misses.contains(Host))
    find(Host, Now, [](job_host_status /*Status*/) {});
}

void job_host_registry::onRead(const job_host &Host, time_point SentAt,
                               const object_reply &Reply) {
  job_host_status Status = job_host_status::Unavailable;
  switch (Reply.Outcome) {
  case object_outcome::Done:
    Status = job_host_status::HasJobs;
    onRecorded(Host);
    break;
  case object_outcome::NotFound:
  // No object can have a name that the store rejects.
  case object_outcome::Invalid:
    Status = job_host_status::NoJobs;
    if (Misses.size() >= Options.MaxMisses)
      Misses.clear();
    Misses[Host] = SentAt;
    break;
  default:
    if (Misses.contains(Host))
      Status = job_host_status::NoJobs;
    break;
  }
  logInfo("job_host_read", {{"host", Host.recordName()},
                            {"outcome", std::string(toString(Reply.Outcome))}});
  auto Calls = Waiting.extract(Host);
  for (const find_callback &Done : Calls.mapped())
    Done(Status);
}

} // namespace cardamom
