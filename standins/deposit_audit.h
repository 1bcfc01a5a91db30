/// \file
/// Checks the responses to non-idempotent requests against the number of times
/// that the services executed them.

#ifndef STANDINS_DEPOSIT_AUDIT_H
#define STANDINS_DEPOSIT_AUDIT_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace standins {

/// What the responses to all attempts of one deposit imply.
enum class deposit_outcome {
  /// The service's response was received: the deposit ran exactly once.
  Ran,
  /// Every attempt was answered with not-run: the deposit never ran.
  NotRun,
  /// The deposit ran at most once.
  Unknown,
};

struct deposit_counts {
  uint64_t Ran = 0;
  uint64_t NotRun = 0;
  uint64_t Unknown = 0;
  uint64_t UnknownThatRan = 0;
  /// Violations of the guarantees in docs/promises.md.
  uint64_t RanTwice = 0;
  uint64_t Lost = 0;
  uint64_t RanAfterNotRun = 0;

  [[nodiscard]] uint64_t violations() const {
    return RanTwice + Lost + RanAfterNotRun;
  }
};

/// Collects outcomes and run counts, then compares them. Not thread-safe.
class deposit_audit {
public:
  void recordOutcome(const std::string &Id, deposit_outcome Outcome) {
    Outcomes[Id] = Outcome;
  }
  /// Adds the run count of one service; counts of several services add up.
  void addRuns(const std::string &Id, uint64_t Count) { Runs[Id] += Count; }

  /// Appends a description of each violation to Violations.
  deposit_counts compare(std::vector<std::string> &Violations) const {
    deposit_counts Counts;
    for (const auto &[Id, Outcome] : Outcomes) {
      auto It = Runs.find(Id);
      count(Id, Outcome, It == Runs.end() ? 0 : It->second, Counts, Violations);
    }
    return Counts;
  }

private:
  static void count(const std::string &Id, deposit_outcome Outcome,
                    uint64_t Ran, deposit_counts &Counts,
                    std::vector<std::string> &Violations) {
    Counts.Ran += Outcome == deposit_outcome::Ran;
    Counts.NotRun += Outcome == deposit_outcome::NotRun;
    Counts.Unknown += Outcome == deposit_outcome::Unknown;
    if (Ran > 1) {
      ++Counts.RanTwice;
      Violations.push_back(Id + " ran " + std::to_string(Ran) + " times");
    }
    if (Outcome == deposit_outcome::Ran && Ran == 0) {
      ++Counts.Lost;
      Violations.push_back(Id + " was answered successfully but never ran");
    }
    if (Outcome == deposit_outcome::NotRun && Ran > 0) {
      ++Counts.RanAfterNotRun;
      Violations.push_back(
          Id + " ran although every attempt was answered with not-run");
    }
    Counts.UnknownThatRan += Outcome == deposit_outcome::Unknown && Ran > 0;
  }

  std::map<std::string, deposit_outcome> Outcomes;
  std::map<std::string, uint64_t> Runs;
};

} // namespace standins

#endif // STANDINS_DEPOSIT_AUDIT_H
