#include "inner/document_exchange.h"

#include "base/invariant.h"
#include "base/log.h"
#include "base/metrics.h"
#include "inner/gen/messages.pb.h"

#include <exception>
#include <utility>

namespace cardamom {

// A response takes a few milliseconds. A peer that has not responded by then
// may be unreachable, so the document is requested again on the next heartbeat
// of any peer.
static constexpr milliseconds RequestTimeout{500};
// Delay after a document was rejected: the copies of other peers are most
// likely invalid too.
static constexpr milliseconds RejectedRetryDelay{10000};

document_exchange::document_exchange(document_exchange_options Options)
    : Options(std::move(Options)) {}

bool document_exchange::install(versioned_document Document) {
  std::lock_guard InstallLock(InstallMutex);
  const uint64_t CurrentVersion = version(Document.Name);
  if (Document.Version <= CurrentVersion)
    return false;
  if (Options.Validate)
    Options.Validate(Document);
  // Only install() writes, so the reference is valid while InstallMutex is
  // held.
  const versioned_document &Installed = store(std::move(Document));
  metrics::get().counter("documents_installed_total").add();
  if (Options.OnInstall)
    Options.OnInstall(Installed);
  return true;
}

const versioned_document &
document_exchange::store(versioned_document Document) {
  std::lock_guard Lock(Mutex);
  versioned_document &Entry = Documents[Document.Name];
  CARDAMOM_INVARIANT(Document.Version > Entry.Version,
                     "the version of a document never decreases");
  Entry = std::move(Document);
  return Entry;
}

uint64_t document_exchange::version(std::string_view Name) const {
  std::lock_guard Lock(Mutex);
  const auto It = Documents.find(Name);
  return It == Documents.end() ? 0 : It->second.Version;
}

std::optional<versioned_document>
document_exchange::get(std::string_view Name) const {
  std::lock_guard Lock(Mutex);
  const auto It = Documents.find(Name);
  if (It == Documents.end())
    return std::nullopt;
  return It->second;
}

void document_exchange::addVersions(wire::heartbeat &Heartbeat) const {
  std::lock_guard Lock(Mutex);
  for (const auto &[Name, Document] : Documents) {
    wire::document_version &Entry = *Heartbeat.add_documents();
    Entry.set_name(Name);
    Entry.set_version(Document.Version);
  }
}

// Every peer that has installed a newer version announces it in its heartbeats.
// Without this check, an entry would download the document from all of its
// agents.
bool document_exchange::tryStartRequest(const std::string &Name,
                                        uint64_t Version, time_point Now) {
  std::lock_guard Lock(Mutex);
  pending_request &Last = PendingRequests[Name];
  if (Version <= Last.Version && Now < Last.RetryAt)
    return false;
  Last = {.Version = Version, .RetryAt = Now + RequestTimeout};
  return true;
}

std::vector<wire::control_frame>
document_exchange::requestNewer(const wire::heartbeat &Heartbeat,
                                time_point Now) {
  std::vector<wire::control_frame> Replies;
  for (const wire::document_version &Entry : Heartbeat.documents()) {
    if (Entry.version() <= version(Entry.name()) ||
        !tryStartRequest(Entry.name(), Entry.version(), Now))
      continue;
    Replies.emplace_back().mutable_document_request()->set_name(Entry.name());
  }
  return Replies;
}

std::vector<wire::control_frame>
document_exchange::answerRequest(const std::string &Name) const {
  std::vector<wire::control_frame> Replies;
  if (auto Installed = get(Name)) {
    wire::document &Document = *Replies.emplace_back().mutable_document();
    Document.set_name(Installed->Name);
    Document.set_version(Installed->Version);
    Document.set_body(std::move(Installed->Body));
  }
  return Replies;
}

void document_exchange::installReceived(const wire::document &Document,
                                        time_point Now) {
  try {
    install({.Name = Document.name(),
             .Version = Document.version(),
             .Body = Document.body()});
  } catch (const std::exception &Error) {
    metrics::get().counter("documents_rejected_total").add();
    logError("document_rejected",
             {{"name", Document.name()},
              {"version", std::to_string(Document.version())},
              {"error", Error.what()}});
    std::lock_guard Lock(Mutex);
    PendingRequests[Document.name()] = {.Version = Document.version(),
                                        .RetryAt = Now + RejectedRetryDelay};
  }
}

std::vector<wire::control_frame>
document_exchange::handleFrame(const wire::control_frame &Frame,
                               time_point Now) {
  switch (Frame.body_case()) {
  case wire::control_frame::kHeartbeat:
    return requestNewer(Frame.heartbeat(), Now);
  case wire::control_frame::kDocumentRequest:
    return answerRequest(Frame.document_request().name());
  case wire::control_frame::kDocument:
    installReceived(Frame.document(), Now);
    return {};
  default:
    return {};
  }
}

} // namespace cardamom
