#include "footprint.h"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace
{

constexpr std::size_t KibibyteBytes = 1024;

} // namespace

Footprint footprintOf(int pid)
{
    const std::filesystem::path folder = fmt::format("/proc/{}", pid);
    Footprint footprint;
    std::ifstream status(folder / "status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmHWM:", 0) == 0) {
            footprint.peakBytes = std::stoull(line.substr(line.find(':') + 1)) * KibibyteBytes;
        }
    }
    std::error_code ec;
    for (std::filesystem::directory_iterator it(folder / "fd", ec), end; !ec && it != end; it.increment(ec)) {
        ++footprint.descriptors;
    }
    return footprint;
}
