#include "callerfrontend.h"

#include "callersession.h"
#include "outbox.h"
#include "tcpsocket.h"

#include <base/connectionbudget.h>
#include <base/logline.h>
#include <runtime/eventloopthread.h>

#include <boost/asio/ip/address.hpp>

#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace Gateway
{

namespace
{

constexpr Base::Duration AcceptRetryDelay = std::chrono::milliseconds{50};

constexpr std::size_t UncountedBytes = 8192; // what a connection may always hold
constexpr std::size_t ReceivingShare = 4; // the budget leaves a quarter to requests that are being received

} // namespace

class CallerFrontend::Private final : public Internal::SessionOwner
{
public:
    Private(Runtime::EventLoopThread &eventLoop, const CallerLimits &limits)
        : m_eventLoop(eventLoop)
        , m_limits(limits)
        , m_acceptor(eventLoop.context(), tcp::endpoint(asio::ip::make_address(limits.address), limits.port))
        , m_output(eventLoop.timers())
        , m_budget({.bytes = limits.receivedBytes * ReceivingShare})
    {
    }

    const CallerLimits &limits() const override
    {
        return m_limits;
    }
    CallerCounters &counters() override
    {
        return m_counters;
    }
    Base::TimerService &timers() override
    {
        return m_eventLoop.timers();
    }
    bool isDraining() const override
    {
        return m_isDraining;
    }

    std::optional<ExchangeId> registerExchange(Internal::CallerSession &session) override
    {
        if (m_exchanges.size() >= m_limits.inFlight) {
            return std::nullopt;
        }
        const ExchangeId id{++m_lastExchangeId};
        m_exchanges.emplace(id, &session);
        m_counters.inFlight.store(m_exchanges.size(), std::memory_order_relaxed);
        return id;
    }

    void unregisterExchange(ExchangeId id) override
    {
        m_exchanges.erase(id);
        m_counters.inFlight.store(m_exchanges.size(), std::memory_order_relaxed);
    }

    bool trySend(ToTargets &&message) override
    {
        return m_output.tryPush(std::move(message));
    }
    void send(ToTargets &&message) override
    {
        m_output.push(std::move(message));
    }

    void holdReceived(Internal::CallerSession &session, std::size_t bytes) override
    {
        if (bytes <= UncountedBytes) {
            releaseReceived(session);
            return;
        }
        const auto now = timers().now();
        const auto [it, isNew] = m_receiving.try_emplace(&session);
        if (isNew) {
            it->second = m_budget.add(0, now);
            m_receivers[it->second] = &session;
        }
        m_budget.hold(it->second, Base::Holding::Receiving, bytes, now);
        while (const auto excess = m_budget.excess(now)) {
            Internal::CallerSession &most = *m_receivers.at(*excess);
            releaseReceived(most);
            most.giveUpRequest();
        }
    }

    void onSessionClosed(Internal::CallerSession &session) override
    {
        releaseReceived(session);
        m_sessions.erase(session.shared_from_this());
        m_counters.connections.store(m_sessions.size(), std::memory_order_relaxed);
        reportDrained();
    }

    void receive(ToCallers &&message)
    {
        const ExchangeId id = std::visit([](const auto &it) { return it.id; }, message);
        const auto it = m_exchanges.find(id);
        if (it == m_exchanges.end()) {
            return;
        }
        const auto session = it->second->shared_from_this();
        session->receive(std::move(message));
    }

    void accept()
    {
        m_acceptor.async_accept(m_eventLoop.context(),
                                [this](const boost::system::error_code &ec, Internal::TcpSocket socket) {
                                    onAccepted(ec, std::move(socket));
                                });
    }

    void drain(std::function<void()> done)
    {
        m_isDraining = true;
        m_onDrained = std::move(done);
        timers().subscribeAfter(m_limits.drainNotice, [this] { stopAccepting(); });
    }

    Runtime::EventLoopThread &m_eventLoop;
    CallerLimits m_limits;
    tcp::acceptor m_acceptor;
    Internal::Outbox<ToTargets> m_output;
    CallerCounters m_counters;

private:
    // Accepting is retried after a delay, since without free file descriptors it would fail again at once and
    // spin. Callers wait in the listen backlog meanwhile.
    void onAccepted(const boost::system::error_code &ec, Internal::TcpSocket socket)
    {
        if (!m_acceptor.is_open()) {
            return;
        }
        if (ec) {
            Base::LogLine(Base::LogLevel::Warning, "accept-failed").with("error", ec.message());
            timers().subscribeAfter(AcceptRetryDelay, [this] { accept(); });
            return;
        }
        if (m_sessions.size() < m_limits.connections) {
            boost::system::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            const auto session = std::make_shared<Internal::CallerSession>(std::move(socket), *this);
            m_sessions.insert(session);
            m_counters.connections.store(m_sessions.size(), std::memory_order_relaxed);
            session->start();
        }
        accept();
    }

    void stopAccepting()
    {
        boost::system::error_code ec;
        m_acceptor.close(ec);
        m_hasStoppedAccepting = true;
        const std::vector<std::shared_ptr<Internal::CallerSession>> sessions(m_sessions.begin(),
                                                                             m_sessions.end());
        for (const auto &it : sessions) {
            it->closeWhenIdle();
        }
        reportDrained();
    }

    void releaseReceived(Internal::CallerSession &session)
    {
        const auto it = m_receiving.find(&session);
        if (it != m_receiving.end()) {
            m_budget.remove(it->second);
            m_receivers.erase(it->second);
            m_receiving.erase(it);
        }
    }

    void reportDrained()
    {
        if (m_hasStoppedAccepting && m_sessions.empty() && m_onDrained) {
            std::exchange(m_onDrained, nullptr)();
        }
    }

    std::uint64_t m_lastExchangeId = 0;
    std::unordered_map<ExchangeId, Internal::CallerSession *> m_exchanges;
    std::unordered_set<std::shared_ptr<Internal::CallerSession>> m_sessions;
    Base::ConnectionBudget m_budget; ///< of requests that are being received
    std::unordered_map<const Internal::CallerSession *, Base::ConnectionBudget::Id> m_receiving;
    std::unordered_map<Base::ConnectionBudget::Id, Internal::CallerSession *> m_receivers;
    bool m_isDraining = false;
    bool m_hasStoppedAccepting = false;
    std::function<void()> m_onDrained;
};

CallerFrontend::CallerFrontend(Runtime::EventLoopThread &eventLoop, const CallerLimits &limits)
    : d(std::make_unique<Private>(eventLoop, limits))
{
}

CallerFrontend::~CallerFrontend() = default;

void CallerFrontend::setOutput(Base::Ring<ToTargets> &output)
{
    d->m_output.setRing(output);
}

void CallerFrontend::receive(ToCallers &&message)
{
    d->receive(std::move(message));
}

void CallerFrontend::start()
{
    d->m_eventLoop.post([this] { d->accept(); });
}

void CallerFrontend::drain(std::function<void()> done)
{
    d->m_eventLoop.post([this, done = std::move(done)]() mutable { d->drain(std::move(done)); });
}

std::uint16_t CallerFrontend::port() const
{
    return d->m_acceptor.local_endpoint().port();
}

const CallerCounters &CallerFrontend::counters() const
{
    return d->m_counters;
}

} // namespace Gateway
