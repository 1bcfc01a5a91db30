/// \file
/// Distributes versioned documents (configuration, VM list, weight versions)
/// between connected processes. The version of a document only increases.
///
/// A heartbeat lists the versions that a process has installed. A process with
/// a lower version requests the document on the same control stream. A process
/// that has installed a newer version sends a heartbeat to all its peers
/// immediately. A lower version is never installed.
///
/// The class has no connection of its own: the caller passes it the control
/// frames that it receives and sends the frames that it returns.

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
  /// Validates a document before it is installed. Throws if the document is
  /// invalid; it is then neither installed nor sent to other processes.
  std::function<void(const versioned_document &Document)> Validate = {};
  /// Called after each install, in version order for each name. May call get()
  /// and version() but not install().
  std::function<void(const versioned_document &Document)> OnInstall = {};
};

class document_exchange {
public:
  explicit document_exchange(document_exchange_options Options);

  /// Installs the document if its version is higher than the installed one.
  /// Returns whether it was installed. Propagates exceptions of Validate.
  bool install(versioned_document Document);
  [[nodiscard]] uint64_t version(std::string_view Name) const;
  [[nodiscard]] std::optional<versioned_document>
  get(std::string_view Name) const;

  /// Adds the installed versions to a heartbeat.
  void addVersions(wire::heartbeat &Heartbeat) const;
  /// Handles a heartbeat, document_request or document from a peer. Returns the
  /// frames to send back on the same control stream. An invalid document is
  /// counted, logged and dropped. If several peers have a newer version, it is
  /// requested from only one of them at a time.
  std::vector<wire::control_frame>
  handleFrame(const wire::control_frame &Frame,
              time_point Now = steady_clock::now());

private:
  /// The last request for a document.
  struct pending_request {
    uint64_t Version = 0;
    /// Before this time, this version or a lower one is not requested again.
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
  /// Serializes installs, so that OnInstall is called in version order.
  std::mutex InstallMutex;
  std::map<std::string, versioned_document, std::less<>> Documents;
  std::map<std::string, pending_request, std::less<>> PendingRequests;
};

} // namespace cardamom

#endif // CARDAMOM_INNER_DOCUMENT_EXCHANGE_H
