#include "cloud.h"

#include <jobs/jsonfields.h>

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

using namespace std::chrono_literals;

namespace Review
{

namespace
{

namespace json = boost::json;

constexpr Base::Duration AnswerTime = 10ms;
constexpr Base::Duration MoveTime = 1500ms; // MigrateS
constexpr Base::Duration UpkeepTime = 2000ms; // MaintenanceS
constexpr Base::Duration EntryLifetime = 4500ms; // three heartbeats

std::uint64_t tokenOf(const Http::Request &request)
{
    return Ini::toInteger(request.field("Fencing-Token")).value_or(0);
}

Http::Response conflict(std::string_view reason)
{
    return Http::Response{.status = 409, .body = json::serialize(json::object{{"Reason", reason}})};
}

} // namespace

Cloud::Cloud(boost::asio::io_context &context, Base::TimerService &timers, Soak::Store &store, World &world)
    : m_context(context)
    , m_timers(timers)
    , m_store(store)
    , m_world(world)
    , m_onUpkeep([](const std::string &, const std::string &) { return Treatment{}; })
    , m_server(
          context,
          timers,
          {"127.0.0.1", 0},
          Http::ServerLimits{},
          [this](const Http::Request &request, const Http::Responder &respond) { handle(request, respond); })
{
}

std::uint16_t Cloud::port() const
{
    return m_server.port();
}

void Cloud::addMachine(const std::string &id, const std::string &pool, const std::string &rack)
{
    auto machine = std::make_unique<Machine>();
    machine->id = id;
    machine->pool = pool;
    machine->rack = rack;
    startWorker(*machine);
    m_machines.push_back(std::move(machine));
}

void Cloud::setUpkeep(UpkeepCalled called, std::size_t mostDown)
{
    m_onUpkeep = std::move(called);
    m_mostDown = mostDown;
}

void Cloud::startWorker(Machine &machine)
{
    machine.worker = std::make_unique<Worker>(
        m_context,
        m_timers,
        m_store,
        m_world,
        Worker::Place{fmt::format("i-{:08}", ++m_lastWorker), machine.id, machine.pool, machine.rack});
}

void Cloud::endWorker(Machine &machine)
{
    if (!machine.worker) {
        return;
    }
    const std::string id = machine.worker->place().id;
    machine.worker.reset();
    m_timers.subscribeAfter(EntryLifetime, [this, id] { m_store.put("keyed.servers", id, std::nullopt); });
}

void Cloud::crashRack(const std::string &rack, Base::Duration downTime)
{
    m_world.note(fmt::format("the workers of rack {} crash", rack));
    for (const auto &it : m_machines) {
        if (it->rack != rack || it->state != "up") {
            continue;
        }
        endWorker(*it);
        it->state = "down";
        m_timers.subscribeAfter(downTime, [this, machine = it.get()] {
            machine->state = "up";
            startWorker(*machine);
        });
    }
}

bool Cloud::isMaintained(const std::string &machine) const
{
    const Machine *found = find(machine);
    return found && found->isMaintained;
}

Cloud::Machine *Cloud::find(const std::string &id) const
{
    const auto it = std::find_if(
        m_machines.begin(), m_machines.end(), [&id](const auto &machine) { return machine->id == id; });
    return it != m_machines.end() ? it->get() : nullptr;
}

void Cloud::handle(const Http::Request &request, const Http::Responder &respond)
{
    if (request.method == "GET") {
        m_timers.subscribeAfter(AnswerTime, [this, respond] { respond(Http::Response{.body = list()}); });
    } else if (request.target == "/machine-move") {
        move(request, respond);
    } else if (request.target == "/machine-upkeep") {
        upkeep(request, respond);
    } else {
        respond(Http::Response{.status = 404});
    }
}

std::string Cloud::list() const
{
    json::array rows;
    for (const auto &it : m_machines) {
        rows.push_back(
            json::object{{"Machine", it->id},
                         {"Pool", it->pool},
                         {"State", it->state},
                         {"Zone", "zone-a"},
                         {"Labels", json::array{"a", it->rack}},
                         {"Capacity", json::object{{"Cpu", 16'000}, {"MemMb", 32'768}, {"Gpu", 0}}},
                         {"Id", it->worker ? it->worker->place().id : std::string()}});
    }
    return json::serialize(json::object{{"Machines", std::move(rows)}, {"NextToken", nullptr}});
}

void Cloud::move(const Http::Request &request, const Http::Responder &respond)
{
    const json::value parsed = json::parse(request.body);
    const std::string id = Jobs::textOrEmpty(parsed.as_object(), "Machine");
    const std::string pool = Jobs::textOrEmpty(parsed.as_object(), "Pool");
    Machine *machine = find(id);
    if (!machine) {
        respond(Http::Response{.status = 400});
        return;
    }
    if (tokenOf(request) < machine->token) {
        respond(conflict("fence"));
        return;
    }
    machine->token = tokenOf(request);
    if (machine->pool == pool) {
        respond(Http::Response{.body = "{}"});
        return;
    }
    if (machine->state != "up") {
        respond(conflict("busy"));
        return;
    }
    m_world.note(fmt::format("machine {} moves from {} to {}, ordered by {}",
                             id,
                             machine->pool,
                             pool,
                             request.field("Lease-Holder")));
    endWorker(*machine);
    machine->pool = pool;
    machine->state = "moving";
    m_timers.subscribeAfter(MoveTime, [this, machine] {
        machine->state = "up";
        startWorker(*machine);
    });
    m_timers.subscribeAfter(AnswerTime, [respond] { respond(Http::Response{.body = "{}"}); });
}

void Cloud::upkeep(const Http::Request &request, const Http::Responder &respond)
{
    const json::value parsed = json::parse(request.body);
    Machine *machine = find(Jobs::textOrEmpty(parsed.as_object(), "Machine"));
    if (!machine) {
        respond(Http::Response{.status = 400});
        return;
    }
    const std::string holder(request.field("Lease-Holder"));
    const std::uint64_t token = tokenOf(request);
    const Treatment treatment = m_onUpkeep(machine->id, holder);
    m_world.note(fmt::format("{} orders the upkeep of {} with token {}{}",
                             holder,
                             machine->id,
                             token,
                             treatment.isAnswered ? "" : "; it gets no answer"));
    m_timers.subscribeAfter(treatment.delay + AnswerTime, [this, machine, token, holder, respond, treatment] {
        const unsigned status = beginUpkeep(*machine, token, holder);
        if (treatment.isAnswered) {
            respond(status == 200 ? Http::Response{.body = "{}"}
                                  : conflict(status == 409 ? "fence" : "busy"));
        }
    });
}

// LIMIT: an upkeep begins while as many machines of its wave as allowed are down for theirs.
unsigned Cloud::beginUpkeep(Machine &machine, std::uint64_t token, const std::string &holder)
{
    if (token < machine.token) {
        m_world.note(fmt::format("the upkeep of {} ordered by {} is refused: fence", machine.id, holder));
        return 409;
    }
    machine.token = token;
    if (machine.isMaintained) {
        return 200;
    }
    if (machine.state != "up") {
        return 503;
    }
    const auto down = static_cast<std::size_t>(std::count_if(
        m_machines.begin(), m_machines.end(), [](const auto &it) { return it->state == "upkeep"; }));
    m_world.note(fmt::format("the upkeep of {} begins, ordered by {}", machine.id, holder));
    if (down >= m_mostDown) {
        m_world.broken("LIMIT",
                       fmt::format("the upkeep of {} begins while {} others are down, and {} may be",
                                   machine.id,
                                   down,
                                   m_mostDown));
    }
    endWorker(machine);
    machine.isMaintained = true;
    machine.state = "upkeep";
    m_timers.subscribeAfter(UpkeepTime, [this, it = &machine] {
        it->state = "up";
        startWorker(*it);
        m_world.note(fmt::format("the upkeep of {} is over", it->id));
    });
    return 200;
}

} // namespace Review
