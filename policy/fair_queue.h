/// \file
/// Queue that shares scarce slots among tenants: strict priorities, and
/// start-time fair queueing by tenant within a priority.
///
/// Usage:
///   fair_queue Queue({});
///   Queue.push({.Id = 7, .Tenant = "a", .Priority = 0, .Deadline = ...}, Now);
///   for (uint64_t Id : Queue.expire(Now)) refuse(Id);
///   if (auto Id = Queue.pop(Now)) send(*Id);
///
/// Each tenant has a FIFO queue for each priority. The tenant whose first entry
/// has the lowest start tag goes next; the virtual time is that tag. Only first
/// entries have tags, so removed entries are not charged to their tenant.
///
/// A tenant without entries is forgotten once the virtual time has passed its
/// finish tag, or after IdleTime. Reads no clock and does no I/O. push(), pop()
/// and remove() take O(log n), expire() O(log n) for each returned entry, and
/// ahead() O(tenants with entries).

#ifndef CARDAMOM_POLICY_FAIR_QUEUE_H
#define CARDAMOM_POLICY_FAIR_QUEUE_H

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cardamom {

struct fair_queue_options {
  /// A tenant without entries is forgotten after this time. Several times the
  /// interval between requests of a tenant that uses its share.
  milliseconds IdleTime{1000};
};

struct fair_queue_entry {
  /// Unique among the queued entries.
  uint64_t Id = 0;
  std::string Tenant;
  /// 0 is the highest priority.
  unsigned Priority = 0;
  /// Share relative to other tenants; positive.
  double Weight = 1;
  /// Work relative to other entries; positive.
  double Cost = 1;
  time_point Deadline;
};

class fair_queue {
public:
  explicit fair_queue(const fair_queue_options &Options) : Options(Options) {}
  fair_queue(const fair_queue &) = delete;
  fair_queue &operator=(const fair_queue &) = delete;

  /// Returns false, with no effect, if the id is queued already, or if the
  /// weight or cost is not positive.
  bool push(const fair_queue_entry &Entry, time_point Now);
  /// Removes the entry that is served next and returns its id.
  std::optional<uint64_t> pop(time_point Now);
  /// Returns false if the id is not queued.
  bool remove(uint64_t Id, time_point Now);
  /// Removes the entries whose deadline has passed, in the order of their
  /// deadlines.
  std::vector<uint64_t> expire(time_point Now);

  [[nodiscard]] size_t size() const { return Entries.size(); }
  [[nodiscard]] bool contains(uint64_t Id) const {
    return Entries.contains(Id);
  }
  /// Earliest deadline of an entry; nullopt if there is none.
  [[nodiscard]] std::optional<time_point> nextDeadline() const;
  /// Estimated number of queued entries that are served before an entry that is
  /// pushed now. Exact for entries of equal cost.
  [[nodiscard]] size_t ahead(std::string_view Tenant, unsigned Priority,
                             double Weight) const;
  /// Number of remembered tenants over all priorities.
  [[nodiscard]] size_t rememberedTenants() const;

private:
  struct flow {
    /// Start tag of the first entry, or of the next one if there is none.
    double Start = 0;
    double Weight = 1;
    double QueuedCost = 0;
    time_point IdleSince;
    /// By order of arrival: id and cost.
    std::map<uint64_t, std::pair<uint64_t, double>> Queue;
  };
  using flow_map = std::map<std::string, flow, std::less<>>;
  struct level {
    double VirtualTime = 0;
    flow_map Flows;
    size_t Size = 0;
    /// Start tag, arrival of the first entry, flow.
    std::map<std::pair<double, uint64_t>, flow_map::iterator> Heads;
    /// Flows without entries, by start tag and by the time they became idle.
    std::set<std::pair<double, std::string>> IdleByStart;
    std::set<std::pair<time_point, std::string>> IdleByTime;
  };
  struct location {
    unsigned Priority;
    std::string Tenant;
    uint64_t Arrival;
    time_point Deadline;
  };

  void take(uint64_t Id, bool Served, time_point Now);
  static void removeIdle(level &Level, flow_map::iterator Flow);
  void forgetIdle(level &Level, time_point Now) const;
  void forgetIdleLevels(time_point Now);

  fair_queue_options Options;
  std::map<unsigned, level> Levels;
  std::unordered_map<uint64_t, location> Entries;
  std::set<std::pair<time_point, uint64_t>> Deadlines;
  uint64_t NextArrival = 0;
};

} // namespace cardamom

#endif // CARDAMOM_POLICY_FAIR_QUEUE_H
