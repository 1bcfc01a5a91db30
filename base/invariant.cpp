#include "base/invariant.h"

#include "base/log.h"

#include <cstdlib>
#include <string>

namespace cardamom {

void invariantViolated(std::string_view What, std::string_view File, int Line) {
  logError("invariant_broken", {{"what", std::string(What)},
                                {"file", std::string(File)},
                                {"line", std::to_string(Line)}});
  flushLog();
  std::abort();
}

} // namespace cardamom
