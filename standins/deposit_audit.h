/// \file
/// Compares what callers were told about non-idempotent requests with what the
/// services ran.

#ifndef STANDINS_DEPOSIT_AUDIT_H
#define STANDINS_DEPOSIT_AUDIT_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace standins {

/// What all answers to one deposit say together.
enum class deposit_outcome {
  /// An answer of the service came back: it ran once.
  Ran,
  /// Every attempt was answered with not-run: it never ran.
  NotRun,
  /// Any number of runs up to one fits.
  Unknown,
};

struct deposit_counts {
  uint64_t Ran = 0;
  uint64_t NotRun = 0;
  uint64_t Unknown = 0;
  uint64_t UnknownThatRan = 0;
  /// Faults: each is a broken promise.
  uint64_t RanTwice = 0;
  uint64_t Lost = 0;
  uint64_t RanAfterNotRun = 0;

  [[nodiscard]] uint64_t violations() const {
    return RanTwice + Lost + RanAfterNotRun;
  }
};

/// Collects claims and runs, then compares. Not thread-safe.
class deposit_audit {
public:
  void recordOutcome(const std::string &Id, deposit_outcome Claim) {
    Outcomes[Id] = Claim;
  }
  /// Adds the runs that one service reports.
  void addRuns(const std::string &Id, uint64_t Count) { Runs[Id] += Count; }

  /// Names the ids of the faults in Complaints.
  deposit_counts compare(std::vector<std::string> &Complaints) const {
    deposit_counts Counts;
    for (const auto &[Id, Claim] : Outcomes) {
      auto It = Runs.find(Id);
      count(Id, Claim, It == Runs.end() ? 0 : It->second, Counts, Complaints);
    }
    return Counts;
  }

private:
  static void count(const std::string &Id, deposit_outcome Claim, uint64_t Ran,
                    deposit_counts &Counts,
                    std::vector<std::string> &Complaints) {
    Counts.Ran += Claim == deposit_outcome::Ran;
    Counts.NotRun += Claim == deposit_outcome::NotRun;
    Counts.Unknown += Claim == deposit_outcome::Unknown;
    if (Ran > 1) {
      ++Counts.RanTwice;
      Complaints.push_back(Id + " ran " + std::to_string(Ran) + " times");
    }
    if (Claim == deposit_outcome::Ran && Ran == 0) {
      ++Counts.Lost;
      Complaints.push_back(Id + " was answered but never ran");
    }
    if (Claim == deposit_outcome::NotRun && Ran > 0) {
      ++Counts.RanAfterNotRun;
      Complaints.push_back(Id + " ran although every answer was not-run");
    }
    Counts.UnknownThatRan += Claim == deposit_outcome::Unknown && Ran > 0;
  }

  std::map<std::string, deposit_outcome> Outcomes;
  std::map<std::string, uint64_t> Runs;
};

} // namespace standins

#endif // STANDINS_DEPOSIT_AUDIT_H
