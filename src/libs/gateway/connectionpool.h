#pragma once

#include "targetconnection.h"

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace Gateway::Internal
{

/// Idle connections to targets. The most recently used one is taken first.
class ConnectionPool
{
public:
    using Connection = std::shared_ptr<TargetConnection>;

    /// Takes the most recently used connection to the target out of the pool. Returns null if there is none
    /// or if its latest response was completed before `notBefore`.
    Connection take(std::uint64_t target, Base::Instant notBefore);

    /// Adds an idle connection, or closes it if the pool already has `limit` connections to its target.
    void put(Connection connection, std::size_t limit);
    void remove(const TargetConnection &connection);

    /// Closes all idle connections to the target.
    void clear(std::uint64_t target);

private:
    std::unordered_map<std::uint64_t, std::vector<Connection>> m_idle;
};

} // namespace Gateway::Internal
