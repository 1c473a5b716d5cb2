#include "storefront.h"

#include <fmt/format.h>

#include <string_view>

using namespace std::chrono_literals;

namespace Review
{

namespace
{

constexpr std::size_t RecordBytes = 262'144;
constexpr std::size_t RequestBytes = 2'097'152;
constexpr std::size_t RefusalsPerNote = 50;
constexpr std::size_t LengthBytes = 4;
constexpr Base::Duration LongestWait = 32s;

std::size_t largestRecord(std::string_view body)
{
    std::size_t largest = 0;
    while (body.size() >= LengthBytes) {
        std::size_t length = 0;
        for (std::size_t n = 0; n < LengthBytes; ++n) {
            length = length << 8U | static_cast<unsigned char>(body[n]);
        }
        largest = std::max(largest, length);
        body.remove_prefix(std::min(body.size(), LengthBytes + length));
    }
    return largest;
}

} // namespace

StoreFront::StoreFront(boost::asio::io_context &context,
                       Base::TimerService &timers,
                       std::uint16_t store,
                       World &world)
    : m_world(world)
    , m_store{"127.0.0.1", store}
    , m_client(context, timers, {.connectionsPerServer = 400})
    , m_server(
          context,
          timers,
          {"127.0.0.1", 0},
          Http::ServerLimits{.bodyLimit = 8U << 20U},
          [this](const Http::Request &request, const Http::Responder &respond) { handle(request, respond); })
{
}

std::uint16_t StoreFront::port() const
{
    return m_server.port();
}

void StoreFront::handle(const Http::Request &request, const Http::Responder &respond)
{
    if (request.target.rfind("/log-append", 0) == 0) {
        const std::size_t largest = largestRecord(request.body);
        if (largest > RecordBytes || request.body.size() > RequestBytes) {
            if (++m_refused % RefusalsPerNote == 1) {
                m_world.note(fmt::format(
                    "the store refuses an append of {} bytes, its largest record has {}; the {}th: {}",
                    request.body.size(),
                    largest,
                    m_refused,
                    request.target));
            }
            respond(Http::Response{.status = 413});
            return;
        }
    }
    m_client.send(m_store, request, LongestWait, [respond](const Http::Outcome &outcome) {
        if (outcome.response) {
            respond(Http::Response{.status = outcome.response->status, .body = outcome.response->body});
        }
    });
}

} // namespace Review
