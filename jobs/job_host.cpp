#include "jobs/job_host.h"

#include "gateway/route_table.h"

namespace cardamom {

job_host::job_host(std::string_view Host, job_ownership Ownership)
    : Name(hostName(Host)), Ownership(Ownership) {}

std::string job_host::recordName() const {
  return Name + (Ownership == job_ownership::Owned ? ":owned" : ":unowned");
}

} // namespace cardamom
