#include "jobs/job_archive.h"

#include "base/log.h"
#include "jobs/job_document.h"
#include "jobs/result_page.h"

#include <algorithm>
#include <stdexcept>

namespace cardamom {

job_archive::job_archive(job_archive_options Options)
    : Options(std::move(Options)) {}

void job_archive::find(const std::string &JobId,
                       std::function<void(archive_status, entry_ptr)> Done) {
  if (const auto It = Entries.find(JobId); It != Entries.end()) {
    keep(It->second);
    Done(archive_status::Found, It->second);
    return;
  }
  Options.Link.call(
      {.Op = object_op::Get, .Kind = Options.JobKind, .Name = JobId},
      [this, Weak = std::weak_ptr<bool>(Alive),
       Done = std::move(Done)](const object_reply &Reply) {
        if (Weak.expired())
          return;
        if (Reply.Outcome == object_outcome::NotFound) {
          Done(archive_status::NotFound, nullptr);
          return;
        }
        if (Reply.Outcome != object_outcome::Done || Reply.Objects.empty()) {
          Done(archive_status::Unavailable, nullptr);
          return;
        }
        try {
          const stored_object &Object = Reply.Objects.front();
          job Job = decodeStoredJob(Object, Options.Protocols);
          const std::string Id = Job.Id;
          auto Entry = std::make_shared<entry>(
              entry{.Job = std::move(Job),
                    .Log = result_log(Id),
                    .Bytes = Object.Spec.dump().size()});
          keep(Entry);
          Done(archive_status::Found, Entry);
        } catch (const std::invalid_argument &Error) {
          logFault("job_unreadable", {{"reason", Error.what()}});
          Done(archive_status::Unavailable, nullptr);
        }
      });
}

void job_archive::keep(const entry_ptr &Entry) {
  const std::string &Id = Entry->Job.Id;
  Order.remove(Id);
  Order.push_back(Id);
  Entries[Id] = Entry;
  size_t Bytes = 0;
  for (const auto &[Name, Kept] : Entries)
    Bytes += Kept->Bytes;
  while (Bytes > Options.MaxBytes && Order.size() > 1) {
    Bytes -= Entries[Order.front()]->Bytes;
    Entries.erase(Order.front());
    Order.pop_front();
  }
}

void job_archive::read(const job_call &Call,
                       std::function<void(archive_reply)> Done) {
  find(Call.JobId, [this, After = Call.After, Done = std::move(Done)](
                       archive_status Status, const entry_ptr &Entry) {
    if (Status != archive_status::Found) {
      Done({.Status = Status, .Body = {}});
      return;
    }
    fetchResults(Entry, After, Done);
  });
}

void job_archive::fetchResults(const entry_ptr &Entry, uint64_t After,
                               std::function<void(archive_reply)> Done) {
  const size_t Listed = Entry->Log.listed().size();
  if (After < Listed || Listed >= Entry->Job.Items.size() ||
      Entry->Log.closed()) {
    Done({.Status = archive_status::Found, .Body = page(*Entry, After)});
    return;
  }
  const size_t Number = Entry->Log.batches();
  Options.Link.call(
      {.Op = object_op::Get,
       .Kind = Options.ResultKind,
       .Name = result_log::batchName(Entry->Job.Id, Number)},
      [this, Weak = std::weak_ptr<bool>(Alive), Entry, After, Number,
       Done = std::move(Done)](const object_reply &Reply) {
        if (Weak.expired())
          return;
        if (Reply.Outcome == object_outcome::NotFound) {
          Done({.Status = archive_status::Found, .Body = page(*Entry, After)});
          return;
        }
        if (Reply.Outcome != object_outcome::Done || Reply.Objects.empty()) {
          Done({.Status = archive_status::Unavailable, .Body = {}});
          return;
        }
        // Another read may have fetched the same batch meanwhile.
        const nlohmann::json &Spec = Reply.Objects.front().Spec;
        if (Entry->Log.batches() == Number && result_log::isClosing(Spec)) {
          Entry->Log.close();
        } else if (Entry->Log.batches() == Number) {
          std::vector<item_result> Batch = result_log::decodeBatch(Spec);
          for (const item_result &Result : Batch)
            Entry->Bytes += Result.Text.size();
          Entry->Log.append(std::move(Batch));
        }
        fetchResults(Entry, After, Done);
      });
}

std::string job_archive::page(const entry &Entry, uint64_t After) const {
  return encodePage(Entry.Log.listed(), Entry.Job.Items.size(), After,
                    Options.MaxPageBytes, Options.Protocols);
}

std::optional<std::string>
job_archive::knownItemBody(const job_call &Call) const {
  const auto Entry = Entries.find(Call.JobId);
  if (Entry == Entries.end())
    return std::nullopt;
  return bodyOf(Entry->second->Job, Call.ItemId);
}

void job_archive::itemBody(const job_call &Call,
                           std::function<void(archive_reply)> Done) {
  find(Call.JobId, [ItemId = Call.ItemId, Done = std::move(Done)](
                       archive_status Status, const entry_ptr &Entry) {
    if (Status != archive_status::Found) {
      Done({.Status = Status, .Body = {}});
      return;
    }
    if (auto Body = bodyOf(Entry->Job, ItemId))
      Done({.Status = archive_status::Found, .Body = std::move(*Body)});
    else
      Done({.Status = archive_status::NotFound, .Body = {}});
  });
}

} // namespace cardamom
