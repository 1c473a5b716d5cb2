#include "targetserver.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <cstdio>
#include <exception>
#include <memory>
#include <vector>

namespace
{

constexpr const char *Usage = R"(A target that counts what it executes and misbehaves on request.

Usage:
  targetstandin [--delay=MS] [--size=BYTES] LISTEN...
  targetstandin --help

Each LISTEN, IP:PORT (port 0: any free one), is a target of its own; the ports are printed, one a line.
A request's query may hold fault, delay, size and chunked; GET /control/set?... makes them the default,
GET /control/counters says what was executed.

Options:
  --delay=MS     milliseconds that each request takes [default: 0]
  --size=BYTES   bytes of each answer's body [default: 64]
)";

} // namespace

int main(int argc, char **argv)
{
    try {
        auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc});
        boost::asio::io_context context(1);
        std::vector<std::unique_ptr<TargetStandin::TargetServer>> servers;
        for (const auto &it : arguments["LISTEN"].asStringList()) {
            const auto colon = it.rfind(':');
            servers.push_back(std::make_unique<TargetStandin::TargetServer>(
                context, it.substr(0, colon), static_cast<std::uint16_t>(std::stoul(it.substr(colon + 1)))));
            servers.back()->defaults().delay = static_cast<std::uint32_t>(arguments["--delay"].asLong());
            servers.back()->defaults().size = static_cast<std::uint32_t>(arguments["--size"].asLong());
            servers.back()->start();
            fmt::print("{}\n", servers.back()->port());
        }
        std::fflush(stdout);
        context.run();
    } catch (const std::exception &error) {
        fmt::print(stderr, "level=error event=failed error=\"{}\"\n", error.what());
        return 1;
    }
    return 0;
}
