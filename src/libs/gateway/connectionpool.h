#pragma once

#include "targetconnection.h"

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace Gateway::Internal
{

/// Idle connections by target, the one used last on top.
class ConnectionPool
{
public:
    using Connection = std::shared_ptr<TargetConnection>;

    /// An idle connection to the target that answered at `notBefore` or later; none is null.
    Connection take(std::uint64_t target, Base::Instant notBefore);

    /// Keeps the connection, or closes it when `limit` are kept for its target.
    void put(Connection connection, std::size_t limit);
    void remove(const TargetConnection &connection);

    /// Closes all that are kept for the target.
    void clear(std::uint64_t target);

private:
    std::unordered_map<std::uint64_t, std::vector<Connection>> m_idle;
};

} // namespace Gateway::Internal
