/// \file
/// Entry point of all test programs. Runs the CppUnit registry that is named on
/// the command line, which is the name of the test file without its extension.

#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/TextTestProgressListener.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <csignal>
#include <iostream>

int main(int Argc, char **Argv) {
  if (Argc != 2) {
    std::cerr << "usage: " << Argv[0] << " TEST_FILE\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  CppUnit::Test *Suite =
      CppUnit::TestFactoryRegistry::getRegistry(Argv[1]).makeTest();
  if (Suite->countTestCases() == 0) {
    std::cerr << "no test is registered as \"" << Argv[1] << "\"\n";
    return 2;
  }
  CppUnit::TestResult Result;
  CppUnit::TestResultCollector Collector;
  CppUnit::TextTestProgressListener Progress;
  Result.addListener(&Collector);
  Result.addListener(&Progress);
  CppUnit::TestRunner Runner;
  Runner.addTest(Suite);
  Runner.run(Result);
  CppUnit::CompilerOutputter(&Collector, std::cerr).write();
  return Collector.wasSuccessful() ? 0 : 1;
}
