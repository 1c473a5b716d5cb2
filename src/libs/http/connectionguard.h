#pragma once

#include <base/connectionbudget.h>
#include <base/timerservice.h>

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace Http
{

/// Why a connection was closed before its request was answered.
enum class ShedReason {
    Receiving, ///< requests being received held more than their share
    Sending, ///< answers that are not read held more than their share
    Connections, ///< a new connection took its place
};

/// Why a request was refused without having been handled.
enum class RefusalReason { BodyTooLarge, HeaderTooLarge, Malformed, NoMemory };

std::string_view toString(ShedReason reason);
std::string_view toString(RefusalReason reason);

/// The budget that the servers of a process share, and the way to close the connections that it decides on.
class ConnectionGuard
{
public:
    using Id = Base::ConnectionBudget::Id;
    using Door = Base::ConnectionBudget::Door;

    static constexpr std::array ShedReasons{
        ShedReason::Receiving, ShedReason::Sending, ShedReason::Connections};
    static constexpr std::array RefusalReasons{RefusalReason::BodyTooLarge,
                                               RefusalReason::HeaderTooLarge,
                                               RefusalReason::Malformed,
                                               RefusalReason::NoMemory};

    explicit ConnectionGuard(Base::TimerService &timers, const Base::ConnectionLimits &limits = {});

    /// One for each server.
    Door addDoor();

    /// Makes room for a connection, and returns whether there is any.
    bool makeRoom();

    /// Gives up a connection's request and releases what it holds.
    using Shedder = std::function<void(ShedReason reason)>;

    /// Adds a connection; `shedder` is called when the budget decides on it.
    Id add(Door door, Shedder shedder);
    void remove(Id id);

    /// Notes what a connection holds, and sheds connections until all fit; this one may be among them.
    void hold(Id id, Base::Holding holding, std::size_t bytes = 0);

    void noteRefusal(RefusalReason reason);

    const Base::ConnectionBudget &budget() const;
    std::uint64_t shedConnections(ShedReason reason) const;
    std::uint64_t refusedRequests(RefusalReason reason) const;

private:
    struct Count {
        std::uint64_t total = 0;
        std::uint64_t logged = 0;
        std::optional<Base::Instant> loggedAt;
    };

    void shed(Id id, ShedReason reason);
    void log(Count &count, std::string_view event, std::string_view reason);

    Base::TimerService &m_timers;
    Base::ConnectionBudget m_budget;
    std::unordered_map<Id, Shedder> m_shedders;
    Door m_lastDoor = 0;
    std::array<Count, ShedReasons.size()> m_shed{};
    std::array<Count, RefusalReasons.size()> m_refused{};
};

} // namespace Http
