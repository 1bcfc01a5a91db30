/// \file
/// Paths of the HTTP calls between gateways.

#ifndef CARDAMOM_JOBS_INNER_PATHS_H
#define CARDAMOM_JOBS_INNER_PATHS_H

#include <string_view>

namespace cardamom {

/// GET ?pool=P&from=NAME: 200 while the process schedules the jobs of the pool,
/// 503 if it holds the lease but cannot serve, 404 if it does not hold the
/// lease. "from" is set by a gateway that could take over the pool.
inline constexpr std::string_view InnerAlivePath = "/inner/alive";
/// POST ?pool=P, body: the lease that the sender has acquired.
inline constexpr std::string_view InnerLeasePath = "/inner/lease";
/// GET ?pool=P&job=J&after=N&wait_ms=W: a page of results; 404 if the scheduler
/// does not have the job.
inline constexpr std::string_view InnerResultsPath = "/inner/results";
/// GET ?pool=P&job=J&item=I: the item's decoded body; 404 if the scheduler does
/// not have it.
inline constexpr std::string_view InnerItemPath = "/inner/item";
/// POST ?pool=P&job=J&revision=R, body: the job as stored. Tells the scheduler
/// of a job that the sender has accepted.
inline constexpr std::string_view InnerJobPath = "/inner/job";
/// POST ?pool=P&job=J: tells the scheduler that the job has been ended in the
/// store.
inline constexpr std::string_view InnerEndPath = "/inner/end";

/// POST ?pool=P, body: the lease that the sender has acquired. The previous
/// scheduler stops and returns the progress of its items, and InnerSettleHeader
/// if it held the lease right before the sender.
inline constexpr std::string_view InnerHandoverPath = "/inner/handover";
/// Milliseconds for which orders of the previous scheduler, and of those before
/// it, may still arrive.
inline constexpr std::string_view InnerSettleHeader = "Cardamom-Settle-Ms";
/// POST ?pool=P, body: progress of long-running items, stored for a successor
/// of the sender. GET ?pool=P: the progress stored last.
inline constexpr std::string_view InnerCheckpointPath = "/inner/checkpoint";
/// GET ?after=N: the receiver's counts of requests by tenant, in the windows
/// after N.
inline constexpr std::string_view InnerUsagePath = "/inner/usage";
/// Any method, followed by the target of a caller's request: a call on a batch
/// job that the sender cannot serve because it cannot reach the store. The
/// receiver does not forward it again. The sender has admitted the caller;
/// InnerTenantHeader carries its tenant instead of the API key.
inline constexpr std::string_view InnerForwardPrefix = "/inner/forward";

/// Header of forwarded calls: percent-encoded name of the caller's tenant.
/// Absent = none.
inline constexpr std::string_view InnerTenantHeader = "Cardamom-Tenant";

} // namespace cardamom

#endif // CARDAMOM_JOBS_INNER_PATHS_H
