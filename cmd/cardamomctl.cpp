/// \file
/// Command line of operators; see docs/operators.md.

#include "ctl/command_line.h"

#include <csignal>
#include <iostream>

int main(int Argc, char **Argv) {
  // A connection that breaks is an error of the call, not the end of the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  return cardamom::runCommandLine({Argv, size_t(Argc)}, std::cout, std::cerr);
}
