#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

// The leak detector isn't installed: it can't cope with memory that libraries take before main() and free
// later.
int main(int argc, char **argv)
{
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    CommandLineTestRunner runner(argc, argv, TestRegistry::getCurrentRegistry());
    return runner.runAllTestsMain();
}
