#pragma once

#include <base/instant.h>
#include <base/names.h>
#include <document/document.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Gateway
{

struct RoutedService {
    Base::ServiceName name;
    Base::PoolName pool;
    std::vector<Document::Route> routes;
    Document::Priority priority = Document::Priority::Interactive;
    std::chrono::milliseconds deadline{};
    Document::PerMille availability = 0;

    bool operator==(const RoutedService &) const = default;
};

struct RoutedTarget {
    Base::InstanceName instance;
    std::string address; ///< IP number
    std::uint16_t port = 0;
    Base::PoolName pool;
    Base::AvailabilityZoneName zone;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    bool isDraining = false; ///< gets no new work

    bool operator==(const RoutedTarget &) const = default;
};

/// What the request plane has to know of the fleet; replaced as a whole when the fleet's state changes.
class RoutingTable
{
public:
    struct Match {
        std::size_t service = 0; ///< index into services()
        bool isIdempotent = false;
    };

    RoutingTable() = default;
    RoutingTable(std::vector<RoutedService> services, std::vector<RoutedTarget> targets);

    const std::vector<RoutedService> &services() const;
    const std::vector<RoutedTarget> &targets() const;

    /// Of all services. No request outlives it, whatever its caller asks for: drains and memberships rely on
    /// that.
    Base::Duration longestDeadline() const;

    /// The service of a request by the longest prefix of its path; nothing when no route matches.
    /// Methods that RFC 9110 defines as idempotent are so on every route.
    std::optional<Match> find(std::string_view method, std::string_view target) const;

private:
    struct Entry {
        std::string pathPrefix;
        Match match;
    };

    std::vector<RoutedService> m_services;
    std::vector<RoutedTarget> m_targets;
    Base::Duration m_longestDeadline{};
    std::vector<Entry> m_entries; ///< longest prefix first
};

} // namespace Gateway
