#pragma once

#include "instant.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace Base
{

/// What the connections that others open may hold of a machine.
struct ConnectionLimits {
    std::size_t bytes = SIZE_MAX; ///< of all connections together
    std::size_t connections = SIZE_MAX; ///< open at the same time
};

/// The limits of a process on a machine with this memory and this many descriptors.
ConnectionLimits connectionLimits(std::size_t memoryBytes, std::size_t descriptors);

/// What a connection holds memory for.
enum class Holding {
    Nothing, ///< no request has begun
    Receiving, ///< a request that is not whole
    Handling, ///< a request that has no answer yet
    Sending, ///< an answer that is not read
    Closing, ///< an answer that is given up and not freed yet
};

/// Decides which connections are closed when all of them together hold too much. Each kind of holding has a
/// fixed share of the budget, so that unread answers don't use up what requests need.
class ConnectionBudget
{
public:
    using Id = std::uint64_t;
    using Door = std::uint64_t; ///< which server accepted the connection

    static constexpr std::size_t SmallBytes = 64U << 10U; ///< of a request

    explicit ConnectionBudget(const ConnectionLimits &limits = {});

    /// Adds a connection.
    Id add(Door door, Instant now);
    void remove(Id id);

    /// Notes what a connection holds now; the time of a kind of holding begins with the first note of it.
    void hold(Id id, Holding holding, std::size_t bytes, Instant now);

    /// Whether a request of this size may be handled. One always may when no other is; large ones leave a
    /// quarter of the share to small ones. None may as long as answers that were given up for others aren't
    /// freed.
    bool canHandle(std::size_t bytes) const;

    /// Notes that a connection is given up: what it sends is no longer counted, until it is removed.
    void giveUp(Id id, Instant now);

    /// The connection to be closed next because requests being received, or answers being sent, hold more
    /// than their share: the one whose product of bytes and time is the largest. Never one that is handled,
    /// nor the only one of its kind.
    std::optional<Id> excess(Instant now) const;

    /// Whether another connection fits.
    bool hasRoom() const;

    /// The connection to be closed for a new one: of the door with the most connections, the one that has
    /// been without a whole request for longest. Nothing if all are being handled or answered.
    std::optional<Id> leastActive() const;

    std::size_t connections() const;
    std::size_t bytes(Holding holding) const;
    std::size_t share(Holding holding) const; ///< bytes

private:
    struct Connection {
        Door door = 0;
        Holding holding = Holding::Nothing;
        std::size_t bytes = 0;
        Instant since; ///< of this kind of holding
        Instant lastAnswer; ///< or the start of the connection
    };
    struct Use {
        std::size_t bytes = 0;
        std::size_t connections = 0;
    };

    Use &use(Holding holding);
    const Use &use(Holding holding) const;

    ConnectionLimits m_limits;
    Id m_lastId = 0;
    std::map<Id, Connection> m_connections;
    std::map<Door, std::size_t> m_doors; ///< connections of each
    std::array<Use, 5> m_uses{};
};

} // namespace Base
