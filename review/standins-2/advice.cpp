#include "advice.h"

#include "deployment.h"

#include <jobs/jsonfields.h>

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace Review
{

namespace
{

namespace json = boost::json;

constexpr std::size_t MaxWorkers = 100;

} // namespace

Advice::Advice(boost::asio::io_context &context, Base::TimerService &timers, World &world)
    : m_timers(timers)
    , m_world(world)
    , m_server(
          context,
          timers,
          {"127.0.0.1", 0},
          Http::ServerLimits{},
          [this](const Http::Request &request, const Http::Responder &respond) { handle(request, respond); })
{
}

std::uint16_t Advice::port() const
{
    return m_server.port();
}

// One call after the other.
void Advice::handle(const Http::Request &request, const Http::Responder &respond)
{
    const json::value parsed = json::parse(request.body);
    const json::object &question = parsed.as_object();
    const std::string step = Jobs::textOrEmpty(question, "Step");
    const json::array &workers = question.at("Workers").as_array();
    if (workers.size() > MaxWorkers) {
        respond(Http::Response{.status = 400});
        return;
    }
    m_world.note(fmt::format("advice is asked for {} on {} workers", step, workers.size()));
    const auto time = DecideTime + PeriodTime * static_cast<std::int64_t>(workers.size());
    m_busyUntil = std::max(m_busyUntil, m_timers.now()) + time;
    m_timers.subscribeAt(m_busyUntil, [this, step, workers, respond] {
        json::array allowed;
        for (const json::value &it : workers) {
            const std::string worker(it.as_string());
            allowed.push_back(json::array{worker, m_world.issueTicket(step, worker)});
        }
        respond(Http::Response{.fields = {{"Content-Type", "application/json"}},
                               .body = json::serialize(json::object{{"Allowed", std::move(allowed)},
                                                                    {"ValidMs", TicketTime.count()}})});
    });
}

} // namespace Review
