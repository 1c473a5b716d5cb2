#include "connectionpool.h"

#include <algorithm>
#include <utility>

namespace Gateway::Internal
{

ConnectionPool::Connection ConnectionPool::take(std::uint64_t target, Base::Instant notBefore)
{
    const auto it = m_idle.find(target);
    if (it == m_idle.end() || it->second.empty() || it->second.back()->lastResponseAt() < notBefore) {
        return nullptr;
    }
    Connection connection = std::move(it->second.back());
    it->second.pop_back();
    return connection;
}

void ConnectionPool::put(Connection connection, std::size_t limit)
{
    auto &idle = m_idle[connection->targetId()];
    if (idle.size() >= limit) {
        connection->close();
        return;
    }
    connection->enterIdle();
    idle.push_back(std::move(connection));
}

void ConnectionPool::remove(const TargetConnection &connection)
{
    const auto it = m_idle.find(connection.targetId());
    if (it == m_idle.end()) {
        return;
    }
    std::erase_if(it->second, [&](const Connection &idle) { return idle.get() == &connection; });
}

void ConnectionPool::clear(std::uint64_t target)
{
    const auto it = m_idle.find(target);
    if (it == m_idle.end()) {
        return;
    }
    for (const auto &idle : it->second) {
        idle->close();
    }
    m_idle.erase(it);
}

} // namespace Gateway::Internal
