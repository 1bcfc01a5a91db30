/// \file
/// Parses and validates the settings.

#ifndef CARDAMOM_SETTINGS_SETTING_READER_H
#define CARDAMOM_SETTINGS_SETTING_READER_H

#include "settings/daemon_settings.h"
#include "settings/setting_table.h"

#include <array>
#include <string>
#include <string_view>

namespace cardamom {

/// The text of each setting, indexed by setting_id; empty if not given.
using setting_texts = std::array<std::string, size_t(setting_id::Count)>;

/// Reads the settings and collects all problems, so that an operator can fix
/// them in one pass.
class setting_reader {
public:
  /// Texts must outlive the reader.
  explicit setting_reader(const setting_texts &Texts) : Texts(Texts) {}

  /// The returned settings are valid only if problems() is empty.
  daemon_settings read();

  /// One line for each invalid setting.
  [[nodiscard]] const std::string &problems() const { return Problems; }

private:
  struct number_range {
    std::string_view Unit;
    uint64_t Min;
    uint64_t Max;
  };

  [[nodiscard]] const std::string &text(setting_id Id) const {
    return Texts[size_t(Id)];
  }
  void addProblem(setting_id Id, std::string_view Allowed);
  bool readRole(daemon_role &Role);
  void readIdentity(daemon_settings &Settings);
  void readNetwork(daemon_settings &Settings);
  void readCheckpointServer(daemon_settings &Settings);
  void readGateway(daemon_settings &Settings);
  void readDuties(daemon_settings &Settings);
  void readAgent(daemon_settings &Settings);
  void rejectAgentSettings();
  void readLimits(daemon_settings &Settings);
  void checkDistinctListeners(const daemon_settings &Settings);
  std::string identifier(setting_id Id);
  std::string address(setting_id Id);
  std::vector<std::string> addressList(setting_id Id);
  std::string logLevel();
  std::string dataDir();
  /// An empty value is false.
  bool optionalFlag(setting_id Id);
  double cores();
  uint64_t number(setting_id Id, const number_range &Range);

  const setting_texts &Texts;
  std::string Problems;
};

} // namespace cardamom

#endif // CARDAMOM_SETTINGS_SETTING_READER_H
