// Runs the tests of one program. Those that KNOWN-RED.txt lists run, too, and
// are printed, but do not decide the verdict.
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace {

/// The first word of each line is a test, written as fixture::test.
std::vector<std::string> KnownRed() {
  std::vector<std::string> names;
  const char* path = std::getenv("SLATESTALL_KNOWN_RED");
  std::ifstream file(path != nullptr ? path : "");
  std::string line;
  while (std::getline(file, line)) {
    if (!line.empty() && line.front() != '#') {
      names.push_back(line.substr(0, line.find(' ')));
    }
  }
  return names;
}

bool IsKnown(const std::vector<std::string>& known, const std::string& test) {
  for (const auto& name : known) {
    if (test == name || test.ends_with("::" + name)) {
      return true;
    }
  }
  return false;
}

/// Whether a test failed that is not known to.
bool FailedAnew(const CppUnit::TestResultCollector& result,
                const std::vector<std::string>& known) {
  bool failed = false;
  for (const auto* failure : result.failures()) {
    const std::string test = failure->failedTestName();
    const bool is_known = IsKnown(known, test);
    failed = failed || !is_known;
    if (is_known) {
      std::cerr << "known red: " << test << "\n";
    }
  }
  return failed;
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
