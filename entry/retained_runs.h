/// \file
/// Queries agents for the runs of a step that they retain.

#ifndef CARDAMOM_ENTRY_RETAINED_RUNS_H
#define CARDAMOM_ENTRY_RETAINED_RUNS_H

#include "entry/step_owner.h"

#include <functional>
#include <string>
#include <vector>

namespace cardamom {

class inner_client;

/// Queries the agents at the inner addresses for runs whose sample name starts
/// with Prefix. OnFound is called once, on the client's I/O thread, after all
/// agents have replied or failed. An unreachable agent contributes no runs.
void findRetainedRuns(
    inner_client &Client, const std::vector<std::string> &Addresses,
    const std::string &Prefix,
    std::function<void(std::vector<retained_run> Runs)> OnFound);

} // namespace cardamom

#endif // CARDAMOM_ENTRY_RETAINED_RUNS_H
