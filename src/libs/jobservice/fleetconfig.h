#pragma once

#include <jobs/jobspec.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace JobService
{

/// A path prefix of a host below which jobs of one queue are handed in.
struct Route {
    std::string host;
    std::string prefix;
    Jobs::QueuePolicy queue;
};

struct Service {
    std::string name;
    bool isStandby = false; ///< its instances are off
};

/// The configuration in force.
struct FleetConfig {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;

    /// Sorts the routes so that find() gets along without reading all; to be called after a change.
    void index();
    /// The route with the longest prefix of `path`; null when there is none.
    const Route *find(std::string_view host, std::string_view path) const;

private:
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_byHost; ///< longest prefix first
};

} // namespace JobService
