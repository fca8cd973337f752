// Runs the tests of one program. Those that KNOWN-RED.txt lists run, too, and
// are printed, but do not decide the verdict.
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <string>

namespace {

/// The first word of each line is a test, written as fixture::test.
std::set<std::string> KnownRed() {
  std::set<std::string> names;
  const char* path = std::getenv("SLATESTALL_KNOWN_RED");
  std::ifstream file(path != nullptr ? path : "");
  std::string line;
  while (std::getline(file, line)) {
    if (!line.empty() && line.front() != '#') {
      names.insert(line.substr(0, line.find(' ')));
    }
  }
  return names;
}

/// A test's name without the namespaces of its fixture. Nothing shorter counts
/// as listed: the name of a test alone may stand in many fixtures.
std::string FixtureAndTest(const std::string& name) {
  const auto test = name.rfind("::");
  if (test == std::string::npos || test == 0) {
    return name;
  }
  const auto fixture = name.rfind("::", test - 1);
  return fixture == std::string::npos ? name : name.substr(fixture + 2);
}

/// Prints what is listed, and whether it still fails.
/// @returns whether a test failed that is not listed.
bool FailedAnew(const CppUnit::TestResultCollector& result,
                const std::set<std::string>& known) {
  std::set<std::string> failed;
  for (const auto* failure : result.failures()) {
    failed.insert(FixtureAndTest(failure->failedTestName()));
  }
  for (const auto* test : result.tests()) {
    const std::string name = FixtureAndTest(test->getName());
    if (known.contains(name)) {
      std::cerr << (failed.contains(name) ? "known red: "
                                          : "listed as red, but passed: ")
                << name << "\n";
    }
  }
  return !std::includes(known.begin(), known.end(), failed.begin(),
                        failed.end());
}

}  // namespace

int main() {
  CppUnit::TextUi::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.setOutputter(
      std::make_unique<CppUnit::CompilerOutputter>(&runner.result(), std::cerr)
          .release());
  runner.run();
  return FailedAnew(runner.result(), KnownRed()) ? 1 : 0;
}
