#include "routingtable.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Gateway
{

namespace
{

bool isIdempotentMethod(std::string_view method)
{
    constexpr std::array<std::string_view, 5> Methods{"GET", "HEAD", "PUT", "DELETE", "OPTIONS"};
    return std::find(Methods.begin(), Methods.end(), method) != Methods.end();
}

// "/proof" matches "/proof", "/proof/7" and "/proof?x", but not "/proofs". A prefix that ends with a slash
// matches all paths below it.
bool matchesPrefix(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    if (path.size() == prefix.size() || prefix.ends_with('/')) {
        return true;
    }
    return path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

} // namespace

RoutingTable::RoutingTable(std::vector<RoutedService> services, std::vector<RoutedTarget> targets)
    : m_services(std::move(services))
    , m_targets(std::move(targets))
{
    for (std::size_t n = 0; n < m_services.size(); ++n) {
        for (const auto &it : m_services[n].routes) {
            m_entries.push_back({it.pathPrefix, {n, it.isIdempotent}});
        }
        m_longestDeadline = std::max<Base::Duration>(m_longestDeadline, m_services[n].deadline);
    }
    std::stable_sort(m_entries.begin(), m_entries.end(), [](const Entry &a, const Entry &b) {
        return a.pathPrefix.size() > b.pathPrefix.size();
    });
}

const std::vector<RoutedService> &RoutingTable::services() const
{
    return m_services;
}

const std::vector<RoutedTarget> &RoutingTable::targets() const
{
    return m_targets;
}

Base::Duration RoutingTable::longestDeadline() const
{
    return m_longestDeadline;
}

std::optional<RoutingTable::Match> RoutingTable::find(std::string_view method, std::string_view target) const
{
    const auto it = std::find_if(m_entries.begin(), m_entries.end(), [&](const Entry &entry) {
        return matchesPrefix(entry.pathPrefix, target);
    });
    if (it == m_entries.end()) {
        return std::nullopt;
    }
    return Match{it->match.service, it->match.isIdempotent || isIdempotentMethod(method)};
}

} // namespace Gateway
