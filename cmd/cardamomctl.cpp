/// \file
/// Command-line tool for operators; see docs/operators.md.

#include "ctl/command_line.h"

#include <csignal>
#include <iostream>

int main(int Argc, char **Argv) {
  // A write to a closed connection must fail with an error instead of
  // terminating the process.
  std::signal(SIGPIPE, SIG_IGN);
  return cardamom::runCommandLine({Argv, size_t(Argc)}, std::cout, std::cerr);
}
