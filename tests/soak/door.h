#pragma once

#include <base/timerservice.h>
#include <http/server.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <utility>
#include <vector>

namespace Soak
{

/// Address and connections of a worker. They may outlast an incarnation; what arrives meanwhile waits for the
/// next one.
class Door
{
public:
    using Handler = std::function<void(const Http::Request &, const Http::Responder &)>;

    Door(boost::asio::io_context &context, Base::TimerService &timers, std::mt19937 &random);
    Door(const Door &) = delete;
    Door &operator=(const Door &) = delete;
    ~Door();

    std::uint16_t port() const;
    /// Null while no incarnation is up.
    void setHandler(Handler handler);
    /// While it is cut off, nothing arrives and nothing is answered.
    void setCutOff(bool isCutOff);
    /// This share of the calls gets no answer and is carried out seconds later.
    void setLateShare(double share);
    /// Leaves the connection open without an answer.
    void keepOpen(const Http::Responder &respond);

private:
    void take(const Http::Request &request, const Http::Responder &respond);

    Base::TimerService &m_timers;
    std::mt19937 &m_random;
    Handler m_handler;
    std::vector<std::pair<Http::Request, Http::Responder>> m_waiting;
    std::vector<Http::Responder> m_unanswered;
    double m_lateShare = 0;
    bool m_isCutOff = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    Http::Server m_server;
};

} // namespace Soak
