/// \file
/// Names a host on which batch jobs may have been accepted, with or without an
/// owner.

#ifndef CARDAMOM_JOBS_JOB_HOST_H
#define CARDAMOM_JOBS_JOB_HOST_H

#include <string>
#include <string_view>
#include <tuple>

namespace cardamom {

enum class job_ownership {
  /// The job belongs to the tenant that submitted it.
  Owned,
  /// The job came without a tenant, or through a public route.
  Unowned,
};

/// An empty owner stands for none.
[[nodiscard]] inline job_ownership ownershipOf(std::string_view Owner) {
  return Owner.empty() ? job_ownership::Unowned : job_ownership::Owned;
}

struct job_host {
  /// Host may include a port, which is ignored.
  job_host(std::string_view Host, job_ownership Ownership);

  /// Returns the name of the host's record in the store.
  [[nodiscard]] std::string recordName() const;

  friend bool operator<(const job_host &A, const job_host &B) {
    return std::tie(A.Name, A.Ownership) < std::tie(B.Name, B.Ownership);
  }

  std::string Name;
  job_ownership Ownership;
};

} // namespace cardamom

#endif // CARDAMOM_JOBS_JOB_HOST_H
