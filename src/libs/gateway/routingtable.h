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
    std::string address; ///< numeric IP address
    std::uint16_t port = 0;
    Base::PoolName pool;
    Base::AvailabilityZoneName zone;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    bool isDraining = false; ///< gets no new requests

    bool operator==(const RoutedTarget &) const = default;
};

/// The services and targets of the fleet and the routes to them. Immutable: a new table replaces the old one
/// when the state of the fleet changes.
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

    /// Returns the longest deadline of all services. Deadlines requested by callers are capped to it; drains
    /// and memberships rely on no request lasting longer.
    Base::Duration longestDeadline() const;

    /// Returns the service whose route has the longest matching path prefix, or nothing if no route matches.
    /// Methods that RFC 9110 defines as idempotent are idempotent on every route.
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
