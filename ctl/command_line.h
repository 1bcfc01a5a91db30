/// \file
/// The command line of cardamomctl.

#ifndef CARDAMOM_CTL_COMMAND_LINE_H
#define CARDAMOM_CTL_COMMAND_LINE_H

#include <iosfwd>
#include <span>

namespace cardamom {

/// Runs one command. Args is argv, including the program name; options without
/// a flag are read from the environment. Returns the exit code (see
/// ctl/exit_code.h); does not throw for invalid input.
int runCommandLine(std::span<const char *const> Args, std::ostream &Out,
                   std::ostream &Err);

} // namespace cardamom

#endif // CARDAMOM_CTL_COMMAND_LINE_H
