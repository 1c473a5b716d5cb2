#pragma once

#include <base/timerservice.h>
#include <ini/values.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace JobService
{

/// A member's answer to the question for a configuration newer than a version.
struct ConfigurationReply {
    bool isCurrent = false; ///< the member has read the store's newest version recently
    std::optional<std::string> newer; ///< as stored, if the member has a newer one
};

/// Asks other members for newer configurations while this one can't read them from the store, which may
/// reject single members for longer than a version may take to come into force. At most one configuration is
/// transferred at a time, from the store or from a member, since several would share the same link.
///
/// `Peers` provides list(), the other members in a fixed order, and ask(peer, version, progress, callback).
/// `progress` is called for each part of an answer that is not whole, `callback` once, with nullopt if the
/// peer doesn't answer.
template<typename Peers>
class ConfigurationExchange
{
public:
    using Received = std::function<void(const std::string &configuration)>;

    ConfigurationExchange(Peers &peers, Base::TimerService &timers, Received received)
        : m_peers(peers)
        , m_timers(timers)
        , m_received(std::move(received))
    {
    }

    /// `lastStoreRead` returns when the store's newest version was last read, `isReceiving` whether one is
    /// arriving from it, `version` the one in force.
    void start(std::function<Base::Instant()> lastStoreRead,
               std::function<bool()> isReceiving,
               std::function<std::uint64_t()> version)
    {
        m_lastStoreRead = std::move(lastStoreRead);
        m_isReceivingFromStore = std::move(isReceiving);
        m_version = std::move(version);
        m_timers.subscribeEvery(QueryInterval, [this] { queryNext(); });
    }

    /// When the version in force was last known to be the newest one.
    Base::Instant confirmedAt() const
    {
        return std::max(m_lastStoreRead(), m_confirmedByPeer);
    }

    /// Whether the newest version has been read from the store lately.
    bool isCurrent() const
    {
        return m_timers.now() - m_lastStoreRead() < MaxStoreAge;
    }

    /// Whether the version in force was the newest one a moment ago, as far as this member can tell.
    bool isConfirmed() const
    {
        return m_timers.now() - confirmedAt() < MaxStoreAge && !isReceiving();
    }

    /// Path under which a member answers, followed by the version that the asking member has.
    static constexpr std::string_view Path = "/configuration/";

private:
    // The store holds a read for a second if there is nothing new.
    static constexpr Base::Duration MaxStoreAge = std::chrono::milliseconds{1200};
    static constexpr Base::Duration QueryInterval = std::chrono::milliseconds{300};
    // A peer that is cut off delays the question to the next one by no more than the interval.
    static constexpr int MaxOpenQueries = 3;
    static constexpr Base::Duration MaxReceivingPause = std::chrono::milliseconds{1000};

    bool isReceiving() const
    {
        return m_isReceivingFromStore()
            || (m_receivedAt && m_timers.now() - *m_receivedAt < MaxReceivingPause);
    }

    void queryNext()
    {
        const auto peers = m_peers.list();
        if (isCurrent() || isReceiving() || peers.empty() || m_openQueries >= MaxOpenQueries) {
            return;
        }
        m_next = m_next % peers.size();
        ++m_openQueries;
        const auto progress = [this](std::size_t) {
            m_receivedAt = m_timers.now();
        };
        m_peers.ask(peers[m_next++], m_version(), progress, [this](const auto &reply) {
            --m_openQueries;
            m_receivedAt.reset();
            if (reply && reply->isCurrent) {
                m_confirmedByPeer = m_timers.now();
            }
            if (reply && reply->newer) {
                m_received(*reply->newer);
            }
        });
    }

    Peers &m_peers;
    Base::TimerService &m_timers;
    Received m_received;
    std::function<Base::Instant()> m_lastStoreRead;
    std::function<bool()> m_isReceivingFromStore;
    std::function<std::uint64_t()> m_version;
    Base::Instant m_confirmedByPeer;
    std::optional<Base::Instant> m_receivedAt; ///< latest part of an answer that is not whole
    std::size_t m_next = 0;
    int m_openQueries = 0;
};

} // namespace JobService
