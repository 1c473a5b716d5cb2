#include "cases.h"

#include <base/logline.h>

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <map>
#include <string>

namespace
{

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitNotRun = 2;

using Case = std::function<void(const std::string &program, Review::World &world, bool hasTrouble)>;

const std::map<std::string, Case> &cases()
{
    static const std::map<std::string, Case> All{{"move-queue", &Review::moveQueue},
                                                 {"wide-job", &Review::submitWideJob},
                                                 {"late-upkeep", &Review::delayUpkeep},
                                                 {"new-machine", &Review::maintainNewMachine},
                                                 {"rack-crashes", &Review::crashRacks},
                                                 {"advised-gang", &Review::submitAdvisedGang}};
    return All;
}

} // namespace

// usage: review-case CASE PROGRAM RECORD. With TROUBLE=0 in the environment there is no disruption.
int main(int argc, char **argv)
{
    Base::LogLine::setThreshold(Base::LogLevel::Error);
    const auto found = argc == 4 ? cases().find(argv[1]) : cases().end();
    if (found == cases().end()) {
        fmt::print(stderr, "usage: review-case CASE PROGRAM RECORD\n");
        return ExitNotRun;
    }
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::string(trouble) != "0";
    try {
        Review::World world(argv[3]);
        found->second(argv[2], world, hasTrouble);
        world.note(world.isBroken() ? "a rule is broken" : "the rules hold");
        fmt::print("{}\n", world.isBroken() ? "a rule is broken" : "the rules hold");
        return world.isBroken() ? ExitBroken : ExitHeld;
    } catch (const std::exception &error) {
        fmt::print(stderr, "the case couldn't run: {}\n", error.what());
        return ExitNotRun;
    }
}
