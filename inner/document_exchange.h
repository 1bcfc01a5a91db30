/// \file
/// Spreads documents whose version only rises (configuration, VM list, weight
/// versions) between connected processes.
///
/// A heartbeat lists the versions that a process holds. A process that is
/// behind requests the document on the same control stream; one that has
/// installed a newer version sends a heartbeat to all its peers at once. A
/// lower version is never installed.
///
/// The class holds no connection: the owner feeds it control frames and sends
/// what it returns.

#ifndef CARDAMOM_INNER_DOCUMENT_EXCHANGE_H
#define CARDAMOM_INNER_DOCUMENT_EXCHANGE_H

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

namespace wire {
class control_frame;
class document;
class heartbeat;
} // namespace wire

struct versioned_document {
  std::string Name;
  uint64_t Version = 0;
  std::string Body;
};

struct document_exchange_options {
  /// Checks a document before it is installed; throws on a bad one, which is
  /// then neither installed nor passed on.
  std::function<void(const versioned_document &Document)> Validate = {};
  /// Called after each install, outside the lock, in the order of versions of
  /// one name. Must not call install().
  std::function<void(const versioned_document &Document)> OnInstall = {};
};

class document_exchange {
public:
  explicit document_exchange(document_exchange_options Options);

  /// Installs the document when its version is higher than the one held.
  /// Returns whether it was installed. Throws what Validate throws.
  bool install(versioned_document Document);
  [[nodiscard]] uint64_t version(std::string_view Name) const;
  [[nodiscard]] std::optional<versioned_document>
  get(std::string_view Name) const;

  /// Adds the versions held to a heartbeat.
  void addVersions(wire::heartbeat &Heartbeat) const;
  /// Handles a heartbeat, document_request or document of a peer. Returns the
  /// frames to send back on the same control stream. A bad document is
  /// counted, logged and dropped. Of several peers that hold a newer version
  /// only one is asked at a time.
  std::vector<wire::control_frame>
  handleFrame(const wire::control_frame &Frame,
              time_point Now = steady_clock::now());

private:
  /// The last request for a document.
  struct pending_request {
    uint64_t Version = 0;
    /// Until then no other peer is asked for this version or a lower one.
    time_point RetryAt;
  };

  const versioned_document &store(versioned_document Document);
  std::vector<wire::control_frame>
  requestNewer(const wire::heartbeat &Heartbeat, time_point Now);
  std::vector<wire::control_frame> answerRequest(const std::string &Name) const;
  void installReceived(const wire::document &Document, time_point Now);
  bool tryStartRequest(const std::string &Name, uint64_t Version,
                       time_point Now);

  document_exchange_options Options;
  mutable std::mutex Mutex;
  /// Serialises installs, so that OnInstall sees rising versions.
  std::mutex InstallMutex;
  std::map<std::string, versioned_document, std::less<>> Documents;
  std::map<std::string, pending_request, std::less<>> PendingRequests;
};

} // namespace cardamom

#endif // CARDAMOM_INNER_DOCUMENT_EXCHANGE_H
