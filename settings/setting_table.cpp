#include "settings/setting_table.h"

#include <array>
#include <cctype>

namespace cardamom {

static constexpr std::array<setting_spec, size_t(setting_id::Count)> Table = {{
    {setting_id::Role, "role", "", "entry, agent, gateway or reserve"},
    {setting_id::Name, "name", "",
     "name of this entry, or of the agent's upstream, in the inventory"},
    {setting_id::FailureDomain, "failure-domain", "",
     "failure domain of this VM"},
    {setting_id::Region, "region", "", "region of this VM"},
    {setting_id::InnerListen, "inner-listen", "",
     "IP:port of the inner protocol"},
    {setting_id::HttpListen, "http-listen", "",
     "IP:port of HTTP; on an agent optional, serves only metrics and health"},
    {setting_id::Store, "store", "", "IP:port of the platform's store"},
    {setting_id::SeedPeers, "seed-peers", "",
     "inner IP:port,... to fetch documents from while the store is "
     "unavailable"},
    {setting_id::Upstream, "upstream", "", "IP:port of the agent's upstream"},
    {setting_id::OrderPort, "order-port", "",
     "local port bound as the lock for sending orders (agent)"},
    {setting_id::LogLevel, "log-level", "info",
     "trace, debug, info, warn, error or off"},
    {setting_id::DataDir, "data-dir", "",
     "existing directory for bulk data; empty = store nothing"},
    {setting_id::DrainNoticeMs, "drain-notice-ms", "3000",
     "ms that an entry serves but reports not ready after SIGTERM"},
    {setting_id::LeaseMs, "lease-ms", "10000",
     "duration of the lease of a trainer's owner in ms"},
    {setting_id::HttpThreads, "http-threads", "512",
     "HTTP server threads; each open connection uses one"},
    {setting_id::RetainedAnswersMib, "retained-answers-mib", "64",
     "maximum MiB of finished responses that an agent retains"},
    {setting_id::MaxBodyKib, "max-body-kib", "960",
     "maximum size of a request body in KiB"},
    {setting_id::StragglerMoves, "straggler-moves", "2",
     "maximum moves of a slow sample to another upstream; 0 = none"},
    {setting_id::ReadyListen, "ready-listen", "",
     "IP:port of the readiness check for load balancers (gateway)"},
    {setting_id::MetricsListen, "metrics-listen", "",
     "IP:port of metrics, in addition to the inner address (gateway)"},
    {setting_id::StopTimeoutMs, "stop-timeout-ms", "7500",
     "maximum ms from SIGTERM to process exit (gateway)"},
    {setting_id::Cores, "cores", "1",
     "CPU cores available to this process, such as 0.25 (gateway)"},
    {setting_id::LeaveBoundMs, "leave-bound-ms", "2000",
     "maximum ms until a leaving replica gets no new work (gateway)"},
    {setting_id::ConfigBoundMs, "config-bound-ms", "2000",
     "maximum ms until an accepted configuration is in force (gateway)"},
    {setting_id::StrictRevocation, "strict-revocation", "",
     "true = accept no API key that the store has not confirmed within "
     "--revocation-bound-ms; false or empty = accept known keys (gateway)"},
    {setting_id::RevocationBoundMs, "revocation-bound-ms", "",
     "ms without the store after which strict revocation accepts no API key; "
     "empty = 5000 (gateway)"},
    {setting_id::ControlApi, "control-api", "",
     "IP:port of the platform's control API; empty = none (gateway)"},
    {setting_id::Duties, "duties", "",
     "duties at the control API, separated by commas; metering = report the "
     "usage of tenants, others are ignored (gateway)"},
    {setting_id::UsageWindowS, "usage-window-s", "",
     "seconds for which usage is reported at a time; empty = 5 (gateway)"},
}};

std::span<const setting_spec> settingTable() { return Table; }

std::string environmentName(std::string_view Flag) {
  std::string Name = "CARDAMOM_";
  for (const char C : Flag)
    Name += C == '-' ? '_' : char(std::toupper(static_cast<unsigned char>(C)));
  return Name;
}

} // namespace cardamom
