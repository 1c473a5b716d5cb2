#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Bench
{

struct Address {
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;
};

/// A closed loop: each connection sends its next request when the answer to the last one is there.
struct LoadPlan {
    std::vector<Address> addresses; ///< connections are spread over them in turn
    std::string path;
    std::size_t connections = 1;
    std::uint64_t requests = 0; ///< in all
    std::chrono::seconds timeLimit{30};
};

struct LoadResult {
    std::uint64_t answered = 0; ///< with 200
    std::uint64_t failed = 0; ///< with another status, or the connection ended
    double seconds = 0;
    double loadCpuSeconds = 0; ///< of the thread that made the load
    double p50 = 0; ///< microseconds, as the others
    double p99 = 0;
    double p999 = 0;

    double perSecond() const;
};

/// Runs the load on the calling thread. Throws std::system_error when a connection can't be made.
LoadResult runLoad(const LoadPlan &plan);

/// Opens connections and keeps them idle for a time.
void holdConnections(const LoadPlan &plan, std::chrono::seconds time);

} // namespace Bench
