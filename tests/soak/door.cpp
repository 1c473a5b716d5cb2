#include "door.h"

namespace Soak
{

namespace
{

constexpr std::chrono::milliseconds LeastLateness{2000};
constexpr std::chrono::milliseconds MostLateness{12'000};

} // namespace

Door::Door(boost::asio::io_context &context, Base::TimerService &timers, std::mt19937 &random)
    : m_timers(timers)
    , m_random(random)
    , m_server(context,
               timers,
               {"127.0.0.1", 0},
               Http::ServerLimits{},
               // A connection on which a request is being read outlives the server.
               [this, isAlive = m_isAlive](const Http::Request &request, const Http::Responder &respond) {
                   if (*isAlive) {
                       take(request, respond);
                   }
               })
{
}

Door::~Door()
{
    *m_isAlive = false;
}

std::uint16_t Door::port() const
{
    return m_server.port();
}

void Door::setHandler(Handler handler)
{
    m_handler = std::move(handler);
    if (m_handler) {
        for (const auto &[request, respond] : std::exchange(m_waiting, {})) {
            take(request, respond);
        }
    }
}

void Door::setCutOff(bool isCutOff)
{
    m_isCutOff = isCutOff;
    if (!isCutOff) {
        m_unanswered.clear(); // their callers have given up
    }
}

void Door::setLateShare(double share)
{
    m_lateShare = share;
}

void Door::keepOpen(const Http::Responder &respond)
{
    m_unanswered.push_back(respond);
}

void Door::take(const Http::Request &request, const Http::Responder &respond)
{
    if (m_isCutOff) {
        keepOpen(respond);
    } else if (m_lateShare > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < m_lateShare) {
        const std::chrono::milliseconds lateness(std::uniform_int_distribution<std::int64_t>(
            LeastLateness.count(), MostLateness.count())(m_random));
        m_timers.subscribeAfter(lateness, [this, isAlive = m_isAlive, request, respond] {
            if (*isAlive && m_handler) {
                m_handler(request, [](const Http::Response &) {});
            }
        });
    } else if (!m_handler) {
        m_waiting.emplace_back(request, respond);
    } else {
        m_handler(request, [this, isAlive = m_isAlive, respond](Http::Response response) {
            if (*isAlive && m_isCutOff) {
                keepOpen(respond);
            } else {
                respond(std::move(response));
            }
        });
    }
}

} // namespace Soak
