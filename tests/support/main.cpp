#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace
{

void collect(CppUnit::Test *test, const std::string &filter, std::vector<CppUnit::Test *> &tests)
{
    if (test->getChildTestCount() == 0) {
        if (test->countTestCases() > 0 && test->getName().find(filter) != std::string::npos) {
            tests.push_back(test);
        }
        return;
    }
    for (int i = 0; i < test->getChildTestCount(); ++i) {
        collect(test->getChildTestAt(i), filter, tests);
    }
}

}

/** Runs the registered tests whose name contains the first argument; all of them without one. */
int main(int argc, char **argv)
{
    const std::unique_ptr<CppUnit::Test> all(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    std::vector<CppUnit::Test *> tests;
    collect(all.get(), argc > 1 ? argv[1] : "", tests);

    CppUnit::TestResult controller;
    CppUnit::TestResultCollector results;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&results);
    controller.addListener(&progress);
    for (auto *test : tests) {
        test->run(&controller);
    }

    CppUnit::CompilerOutputter(&results, std::cerr).write();
    const auto failed = results.testFailuresTotal();
    std::cout << results.runTests() - failed << " passed, " << failed << " failed" << std::endl;
    return results.runTests() > 0 && failed == 0 ? 0 : 1;
}
