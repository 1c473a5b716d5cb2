#include "fleetconfig.h"

#include <algorithm>

namespace JobService
{

void FleetConfig::index()
{
    m_byHost.clear();
    for (std::size_t n = 0; n < routes.size(); ++n) {
        m_byHost[routes[n].host].push_back(n);
    }
    for (auto &[host, entries] : m_byHost) {
        std::sort(entries.begin(), entries.end(), [this](std::size_t a, std::size_t b) {
            return routes[a].prefix.size() > routes[b].prefix.size();
        });
    }
}

const Route *FleetConfig::find(std::string_view host, std::string_view path) const
{
    const auto it = m_byHost.find(host);
    if (it == m_byHost.end()) {
        return nullptr;
    }
    for (const std::size_t n : it->second) {
        if (path.substr(0, routes[n].prefix.size()) == routes[n].prefix) {
            return &routes[n];
        }
    }
    return nullptr;
}

} // namespace JobService
