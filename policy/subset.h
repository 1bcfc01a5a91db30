/// \file
/// Chooses which agents an entry keeps connections to.
///
/// Use:
///   std::vector<size_t> Chosen =
///       chooseSubset("entry-17", Candidates, {.Size = 40});
///
/// At 380 entries and 600 agents a full mesh needs 228,000 connections and 600
/// heartbeats a second at each entry; a subset bounds both. Rendezvous hashing
/// keeps the choice of the other candidates when one is added or removed, and
/// the same number is taken from each failure domain where possible, so that
/// the loss of a domain leaves every entry with agents elsewhere.

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
  /// Agents to keep; a pool that is not larger is kept whole.
  size_t Size = 40;
};

/// Indices into Candidates, ascending. Costs O(n log n).
std::vector<size_t> chooseSubset(std::string_view Entry,
                                 std::span<const subset_candidate> Candidates,
                                 const subset_options &Options);

} // namespace cardamom

#endif // CARDAMOM_POLICY_SUBSET_H
