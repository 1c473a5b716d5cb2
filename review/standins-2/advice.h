#pragma once

#include "world.h"

#include <base/timerservice.h>
#include <http/server.h>

namespace Review
{

/// Stands in for the service that knows the policies of queues. It allows every worker.
class Advice
{
public:
    Advice(boost::asio::io_context &context, Base::TimerService &timers, World &world);

    std::uint16_t port() const;

private:
    void handle(const Http::Request &request, const Http::Responder &respond);

    Base::TimerService &m_timers;
    World &m_world;
    Base::Instant m_busyUntil;
    Http::Server m_server;
};

} // namespace Review
