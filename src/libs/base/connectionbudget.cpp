#include "connectionbudget.h"

#include <algorithm>

namespace Base
{

namespace
{

// Of the memory, to what connections hold. The rest is for the state of the program, and for what the
// allocator keeps of freed blocks.
constexpr std::size_t BudgetPercent = 40;

// Of the budget. Answers to peers have several megabytes.
constexpr std::size_t ReceivingPercent = 25;
constexpr std::size_t HandlingPercent = 25;
constexpr std::size_t SendingPercent = 50;

constexpr std::size_t SmallRequestsPercent = 25; // of the share for handling

// The platform counts these among a process's descriptors, and doesn't allow them for sockets.
constexpr std::size_t FileDescriptors = 200;
constexpr std::size_t AcceptedPercent = 50; // of the sockets; the others are connections to others
constexpr std::size_t MinConnections = 16;

std::size_t percentOf(std::size_t whole, std::size_t percent)
{
    return whole / 100 * percent;
}

} // namespace

ConnectionLimits connectionLimits(std::size_t memoryBytes, std::size_t descriptors)
{
    const std::size_t sockets = descriptors - std::min(descriptors, FileDescriptors);
    return {.bytes = percentOf(memoryBytes, BudgetPercent),
            .connections = std::max(MinConnections, sockets * AcceptedPercent / 100)};
}

ConnectionBudget::ConnectionBudget(const ConnectionLimits &limits)
    : m_limits(limits)
{
}

ConnectionBudget::Id ConnectionBudget::add(Door door, Instant now)
{
    const Id id = ++m_lastId;
    m_connections[id] = {.door = door, .since = now, .lastAnswer = now};
    ++m_doors[door];
    ++use(Holding::Nothing).connections;
    return id;
}

void ConnectionBudget::remove(Id id)
{
    const auto it = m_connections.find(id);
    if (it == m_connections.end()) {
        return;
    }
    Use &from = use(it->second.holding);
    from.bytes -= it->second.bytes;
    --from.connections;
    --m_doors[it->second.door];
    m_connections.erase(it);
}

void ConnectionBudget::hold(Id id, Holding holding, std::size_t bytes, Instant now)
{
    const auto it = m_connections.find(id);
    if (it == m_connections.end()) {
        return;
    }
    Connection &connection = it->second;
    Use &from = use(connection.holding);
    from.bytes -= connection.bytes;
    --from.connections;
    if (connection.holding != holding) {
        connection.lastAnswer = connection.holding == Holding::Sending ? now : connection.lastAnswer;
        connection.since = now;
    }
    connection.holding = holding;
    connection.bytes = bytes;
    Use &to = use(holding);
    to.bytes += bytes;
    ++to.connections;
}

bool ConnectionBudget::canHandle(std::size_t bytes) const
{
    const Use &closing = use(Holding::Closing);
    if (closing.bytes > 0 && closing.bytes + use(Holding::Sending).bytes > share(Holding::Sending)) {
        return false;
    }
    const Use &handling = use(Holding::Handling);
    const std::size_t whole = share(Holding::Handling);
    const std::size_t most = bytes <= SmallBytes ? whole : percentOf(whole, 100 - SmallRequestsPercent);
    return handling.connections == 0 || handling.bytes + bytes <= most;
}

void ConnectionBudget::giveUp(Id id, Instant now)
{
    const auto it = m_connections.find(id);
    if (it != m_connections.end()) {
        const bool isSending = it->second.holding == Holding::Sending;
        hold(id, isSending ? Holding::Closing : Holding::Nothing, isSending ? it->second.bytes : 0, now);
    }
}

std::optional<ConnectionBudget::Id> ConnectionBudget::excess(Instant now) const
{
    for (const Holding holding : {Holding::Receiving, Holding::Sending}) {
        const Use &over = use(holding);
        if (over.bytes <= share(holding) || over.connections < 2) {
            continue;
        }
        std::optional<Id> most;
        double mostHeld = -1;
        for (const auto &[id, it] : m_connections) {
            // A part of a second counts, so that connections of the same age are told apart by their bytes.
            const double held =
                double(it.bytes) * (std::chrono::duration<double>(now - it.since).count() + 1);
            if (it.holding == holding && held > mostHeld) {
                most = id;
                mostHeld = held;
            }
        }
        return most;
    }
    return std::nullopt;
}

bool ConnectionBudget::hasRoom() const
{
    return m_connections.size() < m_limits.connections;
}

std::optional<ConnectionBudget::Id> ConnectionBudget::leastActive() const
{
    const auto fullest = std::max_element(
        m_doors.begin(), m_doors.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    std::optional<Id> least;
    Instant leastAnswer;
    for (const auto &[id, it] : m_connections) {
        const bool isOpen = it.holding == Holding::Nothing || it.holding == Holding::Receiving;
        if (isOpen && it.door == fullest->first && (!least || it.lastAnswer < leastAnswer)) {
            least = id;
            leastAnswer = it.lastAnswer;
        }
    }
    return least;
}

std::size_t ConnectionBudget::connections() const
{
    return m_connections.size();
}

std::size_t ConnectionBudget::bytes(Holding holding) const
{
    return use(holding).bytes;
}

std::size_t ConnectionBudget::share(Holding holding) const
{
    switch (holding) {
    case Holding::Receiving:
        return percentOf(m_limits.bytes, ReceivingPercent);
    case Holding::Handling:
        return percentOf(m_limits.bytes, HandlingPercent);
    case Holding::Sending:
        return percentOf(m_limits.bytes, SendingPercent);
    case Holding::Nothing:
    case Holding::Closing:
        break;
    }
    return 0;
}

ConnectionBudget::Use &ConnectionBudget::use(Holding holding)
{
    return m_uses.at(static_cast<std::size_t>(holding));
}

const ConnectionBudget::Use &ConnectionBudget::use(Holding holding) const
{
    return m_uses.at(static_cast<std::size_t>(holding));
}

} // namespace Base
