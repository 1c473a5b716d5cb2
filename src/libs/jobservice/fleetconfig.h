#pragma once

#include "workspaces.h"

#include <jobs/jobspec.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace JobService
{

/// A host and path prefix under which jobs are submitted to a queue.
struct Route {
    std::string host;
    std::string prefix;
    Jobs::QueuePolicy queue;
    bool isPublic = false; ///< needs no key

    /// Host and prefix, which no other route of the configuration has.
    std::string path() const
    {
        return host + prefix;
    }
};

struct Service {
    std::string name;
    bool isStandby = false; ///< its instances are switched off
};

/// The current configuration.
struct FleetConfig {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    WorkspaceDirectory workspaces;

    /// Builds the index for find(). To be called after `routes` has changed.
    void index();
    /// The route of the host with the longest prefix that matches `path`, or null if there is none.
    const Route *find(std::string_view host, std::string_view path) const;

private:
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_byHost; ///< longest prefix first
};

} // namespace JobService
