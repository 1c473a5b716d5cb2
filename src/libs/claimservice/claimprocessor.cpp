#include "claimprocessor.h"

#include <base/ring.h>
#include <platform/eventloop.h>
#include <platform/httpplatform.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <deque>
#include <thread>

namespace ClaimService
{

namespace
{

constexpr Base::Duration FullRingRetryDelay = std::chrono::milliseconds(1);
constexpr Base::Duration StopPollPeriod = std::chrono::milliseconds(5);

struct FinishedRequest {
    std::uint64_t requestId = 0;
    Claims::RequestOutcome outcome;
};

} // namespace

// The outcome ring has room for every grant that can be open, and the reply ring for every claim that can be
// waiting or open. Neither fills up as long as its consumer drains it.
class ClaimProcessor::Thread
{
public:
    Thread(const ClaimProcessorSettings &settings, std::function<void()> wake)
        : m_claims(settings.maxWaitingClaims, wakeFunction(&Thread::drainClaims))
        , m_outcomes(settings.runner.coordinator.maxOpenClaims, wakeFunction(&Thread::drainOutcomes))
        , m_replies(settings.maxWaitingClaims + settings.runner.coordinator.maxOpenClaims, std::move(wake))
        , m_loop(m_context, m_timers)
        , m_platform(m_context, m_timers, settings.platform)
        , m_runner(m_platform, m_timers, settings.runner, events())
    {
        Platform::advanceToNow(m_timers);
        m_runner.start();
        m_thread = std::thread([this] { m_loop.run(); });
    }
    Thread(const Thread &) = delete;
    Thread &operator=(const Thread &) = delete;

    ~Thread()
    {
        m_loop.stop();
        join();
    }

    bool claim(const Claims::ClaimRequest &request)
    {
        return m_claims.push(Claims::ClaimRequest(request));
    }

    bool finish(FinishedRequest finished)
    {
        return m_outcomes.push(std::move(finished));
    }

    void drainReplies(const std::function<void(ClaimReply)> &receive)
    {
        m_replies.drain(receive);
    }

    bool isReady() const
    {
        return m_isReady.load();
    }

    bool stop(Base::Duration timeout)
    {
        boost::asio::post(m_context, [this, timeout] {
            Platform::advanceToNow(m_timers);
            stopWhenIdle(m_timers.now() + timeout);
        });
        join();
        return m_runner.openClaims() == 0;
    }

private:
    std::function<void()> wakeFunction(void (Thread::*drain)())
    {
        return [this, drain] {
            boost::asio::post(m_context, [this, drain] {
                Platform::advanceToNow(m_timers);
                (this->*drain)();
            });
        };
    }

    ClaimRunner<Platform::HttpPlatform>::Events events()
    {
        return {[this](ClaimReply reply) { emit(std::move(reply)); },
                [this](bool isReady) {
                    m_isReady.store(isReady);
                }};
    }

    void drainClaims()
    {
        m_claims.drain([this](const Claims::ClaimRequest &request) { m_runner.claim(request); });
    }

    void drainOutcomes()
    {
        m_outcomes.drain([this](const FinishedRequest &finished) {
            m_runner.finish(finished.requestId, finished.outcome);
        });
    }

    void emit(ClaimReply reply)
    {
        m_backlog.push_back(std::move(reply));
        flushBacklog();
    }

    void flushBacklog()
    {
        while (!m_backlog.empty() && m_replies.push(std::move(m_backlog.front()))) {
            m_backlog.pop_front();
        }
        if (!m_backlog.empty()) {
            m_timers.cancel(m_backlogTimer);
            m_backlogTimer = m_timers.subscribeAfter(FullRingRetryDelay, [this] { flushBacklog(); });
        }
    }

    void stopWhenIdle(Base::Instant deadline)
    {
        drainClaims();
        drainOutcomes();
        if (m_runner.openClaims() == 0 || m_timers.now() >= deadline) {
            m_loop.stop();
            return;
        }
        m_timers.subscribeAfter(StopPollPeriod, [this, deadline] { stopWhenIdle(deadline); });
    }

    void join()
    {
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    boost::asio::io_context m_context{1};
    Base::TimerService m_timers;
    Base::Ring<Claims::ClaimRequest> m_claims;
    Base::Ring<FinishedRequest> m_outcomes;
    Base::Ring<ClaimReply> m_replies;
    std::deque<ClaimReply> m_backlog;
    Base::TimerId m_backlogTimer;
    std::atomic<bool> m_isReady{false};
    Platform::EventLoop m_loop;
    Platform::HttpPlatform m_platform;
    ClaimRunner<Platform::HttpPlatform> m_runner;
    std::thread m_thread;
};

ClaimProcessor::ClaimProcessor(const ClaimProcessorSettings &settings, std::function<void()> wake)
    : m_thread(std::make_unique<Thread>(settings, std::move(wake)))
{
}

ClaimProcessor::~ClaimProcessor() = default;

bool ClaimProcessor::claim(const Claims::ClaimRequest &request)
{
    return m_thread->claim(request);
}

bool ClaimProcessor::finish(std::uint64_t requestId, Claims::RequestOutcome outcome)
{
    return m_thread->finish({requestId, std::move(outcome)});
}

void ClaimProcessor::drainReplies(const std::function<void(ClaimReply)> &receive)
{
    m_thread->drainReplies(receive);
}

bool ClaimProcessor::isReady() const
{
    return m_thread->isReady();
}

bool ClaimProcessor::stop(Base::Duration timeout)
{
    return m_thread->stop(timeout);
}

} // namespace ClaimService
