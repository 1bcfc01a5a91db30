/// \file
/// CPU time and memory of other processes, from /proc/PID/stat.

#ifndef CARDAMOM_BENCH_PROCESS_USAGE_H
#define CARDAMOM_BENCH_PROCESS_USAGE_H

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace bench {

struct process_usage {
  double CpuSeconds = 0;
  double ResidentMiB = 0;
};

/// All values are 0 if the process does not exist.
inline process_usage readProcessUsage(int Pid) {
  std::ifstream File("/proc/" + std::to_string(Pid) + "/stat");
  std::string Line;
  std::getline(File, Line);
  // The second field, the program name in parentheses, may contain spaces.
  size_t NameEnd = Line.rfind(')');
  if (NameEnd == std::string::npos)
    return {};
  std::istringstream Fields(Line.substr(NameEnd + 1));
  std::string Skipped;
  constexpr int FieldsBeforeTimes = 11;
  for (int I = 0; I < FieldsBeforeTimes; ++I)
    Fields >> Skipped;
  double UserTicks = 0, SystemTicks = 0, ResidentPages = 0;
  Fields >> UserTicks >> SystemTicks;
  constexpr int FieldsBeforeResident = 8;
  for (int I = 0; I < FieldsBeforeResident; ++I)
    Fields >> Skipped;
  Fields >> ResidentPages;
  constexpr double BytesPerMiB = 1 << 20;
  return {(UserTicks + SystemTicks) / static_cast<double>(sysconf(_SC_CLK_TCK)),
          ResidentPages * static_cast<double>(sysconf(_SC_PAGESIZE)) /
              BytesPerMiB};
}

} // namespace bench

#endif // CARDAMOM_BENCH_PROCESS_USAGE_H
