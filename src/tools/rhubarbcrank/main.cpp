#include "commandlist.h"
#include "dispatcher.h"

#include <fmt/format.h>

#include <exception>
#include <string>
#include <vector>

int main(int argc, char **argv)
{
    try {
        const std::vector<std::string> arguments(argv + 1, argv + argc);
        const std::vector<Commands::Command> commands = Commands::allCommands();
        const Commands::Outcome outcome = Commands::dispatch(commands, arguments);
        fmt::print("{}", outcome.output);
        fmt::print(stderr, "{}", outcome.errors);
        return static_cast<int>(outcome.status);
    } catch (const std::exception &error) {
        fmt::print(stderr, "rhubarbcrank: {}\n", error.what());
        return static_cast<int>(Commands::ExitStatus::Refused);
    }
}
