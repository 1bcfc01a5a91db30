#include "standins/prefix_cache.h"

#include "standins/token_text.h"

namespace standins {

namespace {

constexpr size_t MaxEvents = 10'000;

} // namespace

std::vector<uint64_t> prefix_cache::prefixHashes(std::string_view Prompt) {
  std::vector<uint64_t> Prefixes;
  uint64_t Hash = fnv1aHash("");
  for (size_t I = 0; I + BlockBytes <= Prompt.size(); I += BlockBytes) {
    Hash = fnv1aHash(Prompt.substr(I, BlockBytes), Hash);
    Prefixes.push_back(Hash);
  }
  return Prefixes;
}

size_t prefix_cache::countCached(const std::vector<uint64_t> &Prefixes) const {
  size_t Count = 0;
  while (Count < Prefixes.size() && Index.contains(Prefixes[Count]))
    ++Count;
  return Count;
}

void prefix_cache::insert(const std::vector<uint64_t> &Prefixes,
                          time_point Now) {
  // Insert the longest prefix first, so that a prefix is evicted only after the
  // longer ones that extend it.
  for (auto It = Prefixes.rbegin(); It != Prefixes.rend(); ++It) {
    auto Existing = Index.find(*It);
    if (Existing != Index.end()) {
      LruList.splice(LruList.begin(), LruList, Existing->second);
      continue;
    }
    LruList.push_front(*It);
    Index[*It] = LruList.begin();
    publish(true, *It, Now);
  }
  while (Index.size() > Options.MaxEntries) {
    publish(false, LruList.back(), Now);
    Index.erase(LruList.back());
    LruList.pop_back();
  }
}

void prefix_cache::clear(time_point Now) {
  for (uint64_t PrefixHash : LruList)
    publish(false, PrefixHash, Now);
  LruList.clear();
  Index.clear();
}

std::vector<cache_event> prefix_cache::events(uint64_t After,
                                              time_point Now) const {
  std::vector<cache_event> VisibleEvents;
  for (const timed_event &Entry : Events)
    if (Entry.Event.Seq > After &&
        Entry.PublishedAt + Options.EventDelay <= Now)
      VisibleEvents.push_back(Entry.Event);
  return VisibleEvents;
}

void prefix_cache::publish(bool Stored, uint64_t PrefixHash, time_point Now) {
  ++LastSeq;
  if (Options.EventDropInterval > 0 && LastSeq % Options.EventDropInterval == 0)
    return;
  Events.push_back({Now, {LastSeq, Stored, PrefixHash}});
  if (Events.size() > MaxEvents)
    Events.pop_front();
}

} // namespace standins
