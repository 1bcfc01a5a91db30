/// \file
/// Chooses the agents to which an entry process keeps connections.
///
/// Usage:
///   std::vector<size_t> Chosen =
///       chooseSubset("entry-17", Candidates, {.Size = 40});
///
/// With 380 entries and 600 agents, a full mesh needs 228,000 connections, and
/// 600 heartbeats a second at each entry; a subset bounds both. Rendezvous
/// hashing leaves the choice among the other candidates unchanged when one is
/// added or removed. Where possible the same number is taken from each failure
/// domain, so that every entry still has agents after the loss of a domain.

#ifndef CARDAMOM_POLICY_SUBSET_H
#define CARDAMOM_POLICY_SUBSET_H

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace cardamom {

struct subset_candidate {
  std::string_view Name;
  std::string_view FailureDomain;
};

struct subset_options {
  /// Number of agents to choose. If there are no more candidates than that, all
  /// are chosen.
  size_t Size = 40;
};

/// Returns indices into Candidates in ascending order. Costs O(n log n).
std::vector<size_t> chooseSubset(std::string_view Entry,
                                 std::span<const subset_candidate> Candidates,
                                 const subset_options &Options);

} // namespace cardamom

#endif // CARDAMOM_POLICY_SUBSET_H
