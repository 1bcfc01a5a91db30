#include "jobs/job_cache.h"

#include "base/json_text.h"
#include "base/log.h"
#include "jobs/job_document.h"
#include "jobs/result_page.h"

#include <algorithm>
#include <stdexcept>

namespace cardamom {

job_cache::job_cache(job_cache_options Options) : Options(std::move(Options)) {}

void job_cache::findOrFetch(
    const std::string &JobId,
    std::function<void(job_cache_status, entry_ptr)> Done) {
  if (const auto It = Entries.find(JobId); It != Entries.end()) {
    insert(It->second);
    Done(job_cache_status::Found, It->second);
    return;
  }
  Options.Store.call(
      {.Op = object_op::Get, .Kind = Options.JobKind, .Name = JobId},
      [this, Weak = std::weak_ptr<bool>(Alive),
       Done = std::move(Done)](const object_reply &Reply) {
        if (Weak.expired())
          return;
        if (Reply.Outcome == object_outcome::NotFound) {
          Done(job_cache_status::NoSuchJob, nullptr);
          return;
        }
        if (Reply.Outcome != object_outcome::Done || Reply.Objects.empty()) {
          Done(job_cache_status::Unavailable, nullptr);
          return;
        }
        try {
          const stored_object &Object = Reply.Objects.front();
          job Job = decodeStoredJob(Object, Options.Protocols);
          const std::string Id = Job.Id;
          const size_t ItemCount =
              decodeJobDocument(Object).ItemCount.value_or(Job.Items.size());
          auto Entry = std::make_shared<entry>(
              entry{.Job = std::move(Job),
                    .ItemCount = ItemCount,
                    .Log = result_log(Id),
                    .Bytes = toJsonText(Object.Spec).size()});
          insert(Entry);
          Done(job_cache_status::Found, Entry);
        } catch (const std::invalid_argument &Error) {
          logError("job_unreadable", {{"reason", Error.what()}});
          Done(job_cache_status::Unavailable, nullptr);
        }
      });
}

void job_cache::insert(const entry_ptr &Entry) {
  const std::string &Id = Entry->Job.Id;
  LruOrder.remove(Id);
  LruOrder.push_back(Id);
  Entries[Id] = Entry;
  size_t Bytes = 0;
  for (const auto &[Name, Cached] : Entries)
    Bytes += Cached->Bytes;
  while (Bytes > Options.MaxBytes && LruOrder.size() > 1) {
    Bytes -= Entries[LruOrder.front()]->Bytes;
    Entries.erase(LruOrder.front());
    LruOrder.pop_front();
  }
}

void job_cache::readResults(const job_call &Call,
                            std::function<void(job_cache_reply)> Done) {
  findOrFetch(Call.JobId, [this, After = Call.After, Done = std::move(Done)](
                              job_cache_status Status, const entry_ptr &Entry) {
    if (Status != job_cache_status::Found) {
      Done({.Status = Status, .Body = {}});
      return;
    }
    fetchResults(Entry, After, Done);
  });
}

void job_cache::fetchResults(const entry_ptr &Entry, uint64_t After,
                             std::function<void(job_cache_reply)> Done) {
  const size_t Listed = Entry->Log.listed().size();
  if (After < Listed || Listed >= Entry->ItemCount || Entry->Log.closed()) {
    Done(
        {.Status = job_cache_status::Found, .Body = encodePage(*Entry, After)});
    return;
  }
  const size_t Number = Entry->Log.batchCount();
  Options.Store.call(
      {.Op = object_op::Get,
       .Kind = Options.ResultKind,
       .Name = result_log::batchName(Entry->Job.Id, Number)},
      [this, Weak = std::weak_ptr<bool>(Alive), Entry, After, Number,
       Done = std::move(Done)](const object_reply &Reply) {
        if (Weak.expired())
          return;
        if (Reply.Outcome == object_outcome::NotFound) {
          Done({.Status = job_cache_status::Found,
                .Body = encodePage(*Entry, After)});
          return;
        }
        if (Reply.Outcome != object_outcome::Done || Reply.Objects.empty()) {
          Done({.Status = job_cache_status::Unavailable, .Body = {}});
          return;
        }
        // A concurrent read may have fetched the same batch.
        const nlohmann::json &Spec = Reply.Objects.front().Spec;
        if (Entry->Log.batchCount() == Number && result_log::isClosing(Spec)) {
          Entry->Log.close();
        } else if (Entry->Log.batchCount() == Number) {
          std::vector<item_result> Batch =
              result_log::readStoredBatch(Entry->Job.Id, Spec);
          for (const item_result &Result : Batch)
            Entry->Bytes += Result.Text.size();
          Entry->Log.append(std::move(Batch));
        }
        fetchResults(Entry, After, Done);
      });
}

std::string job_cache::encodePage(const entry &Entry, uint64_t After) const {
  return encodeResultPage(Entry.Log.listed(), Entry.ItemCount, After,
                          Options.MaxPageBytes, Options.Protocols);
}

std::optional<std::string>
job_cache::cachedItemBody(const job_call &Call) const {
  const auto Entry = Entries.find(Call.JobId);
  if (Entry == Entries.end())
    return std::nullopt;
  return findItemBody(Entry->second->Job, Call.ItemId);
}

void job_cache::readItemBody(const job_call &Call,
                             std::function<void(job_cache_reply)> Done) {
  findOrFetch(Call.JobId, [ItemId = Call.ItemId, Done = std::move(Done)](
                              job_cache_status Status, const entry_ptr &Entry) {
    if (Status != job_cache_status::Found) {
      Done({.Status = Status, .Body = {}});
      return;
    }
    if (auto Body = findItemBody(Entry->Job, ItemId))
      Done({.Status = job_cache_status::Found, .Body = std::move(*Body)});
    else
      Done({.Status = job_cache_status::NoSuchItem, .Body = {}});
  });
}

} // namespace cardamom
