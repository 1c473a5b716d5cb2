#pragma once

#include "../../tests/soak/store.h"
#include "world.h"

#include <http/client.h>
#include <http/server.h>

#include <memory>

namespace Review
{

/// The store as members reach it: refuses appends beyond the limits of the pages, and passes all else on.
class StoreFront
{
public:
    StoreFront(boost::asio::io_context &context,
               Base::TimerService &timers,
               std::uint16_t store,
               World &world);

    std::uint16_t port() const;

private:
    void handle(const Http::Request &request, const Http::Responder &respond);

    World &m_world;
    std::size_t m_refused = 0; ///< appends
    Ini::Endpoint m_store;
    Http::Client m_client;
    Http::Server m_server;
};

} // namespace Review
