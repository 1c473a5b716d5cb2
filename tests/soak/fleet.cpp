#include "fleet.h"

#include <jobs/jsonfields.h>

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

using namespace std::chrono_literals;

namespace Soak
{

namespace
{

namespace json = boost::json;

constexpr std::size_t MachinesPerPage = 200;
constexpr Base::Duration MoveTime = 1500ms;
constexpr Base::Duration AnswerTime = 10ms;
constexpr Base::Duration EntryLifetime = 4500ms; // of a worker that no longer writes
constexpr Base::Duration DeadlyPause = 3s; // until a worker is back that a task has crashed

} // namespace

Fleet::Fleet(const WorkerSurroundings &surroundings, const Shape &shape)
    : m_surroundings(surroundings)
    , m_shape(shape)
    , m_server(
          surroundings.context,
          surroundings.timers,
          {"127.0.0.1", 0},
          Http::ServerLimits{},
          [this](const Http::Request &request, const Http::Responder &respond) { handle(request, respond); })
{
    std::size_t n = 0;
    std::size_t count = 0;
    for (const Service &it : shape.services) {
        count += it.machines;
    }
    m_machines.reserve(count);
    for (const Service &it : shape.services) {
        for (std::size_t k = 0; k < it.machines; ++k, ++n) {
            Machine machine;
            machine.id = fmt::format("m-{:04}", n);
            machine.zone = shape.zones[n % shape.zones.size()];
            machine.rack = fmt::format(
                "r{}-{}", n % shape.zones.size() + 1, n / shape.zones.size() / shape.machinesPerRack + 1);
            machine.pool = it.name;
            m_machines.push_back(std::move(machine));
            if (!it.isStandby) {
                startWorker(m_machines.back(), fmt::format("i-{:06}", ++m_lastWorker));
            }
        }
    }
}

std::uint16_t Fleet::port() const
{
    return m_server.port();
}

std::size_t Fleet::moves() const
{
    return m_moves;
}

const Service &Fleet::serviceOf(const std::string &name) const
{
    return *std::find_if(m_shape.services.begin(), m_shape.services.end(), [&name](const Service &it) {
        return it.name == name;
    });
}

void Fleet::startWorker(Machine &machine,
                        std::string id,
                        std::shared_ptr<Door> door,
                        Base::Duration registersAfter)
{
    if (!door) {
        door = std::make_shared<Door>(m_surroundings.context, m_surroundings.timers, m_surroundings.random);
    }
    machine.worker = std::make_unique<Worker>(
        m_surroundings,
        Worker::Place{std::move(id),
                      machine.id,
                      machine.pool,
                      machine.zone,
                      machine.rack,
                      m_shape.machine,
                      serviceOf(machine.pool).enforcesCapacity},
        // The worker is not destroyed within its own handler.
        [this](const std::string &worker) {
            m_surroundings.timers.subscribeAfter({}, [this, worker] { restart(worker, DeadlyPause); });
        },
        std::move(door),
        registersAfter);
}

void Fleet::endWorker(Machine &machine)
{
    const std::string id = machine.worker->place().id;
    machine.worker.reset();
    expireEntry(id);
}

void Fleet::expireEntry(const std::string &worker)
{
    m_surroundings.timers.subscribeAfter(EntryLifetime, [this, id = worker] {
        const Base::Instant beatsSince = m_surroundings.timers.now() - EntryLifetime;
        const bool isBack = std::any_of(m_machines.begin(), m_machines.end(), [&](const Machine &it) {
            return it.worker && it.worker->place().id == id && it.worker->beatAt() > beatsSince;
        });
        if (!isBack) {
            m_surroundings.store.put("keyed.servers", id, std::nullopt);
        }
    });
}

void Fleet::restart(std::string worker, Base::Duration pause)
{
    const auto it = std::find_if(m_machines.begin(), m_machines.end(), [&worker](const Machine &machine) {
        return machine.worker && machine.worker->place().id == worker;
    });
    if (it == m_machines.end()) {
        return;
    }
    endWorker(*it);
    it->state = "down";
    m_surroundings.timers.subscribeAfter(pause, [this, machine = &*it, worker = std::move(worker)] {
        if (machine->state == "down") {
            machine->state = "up";
            startWorker(*machine, worker);
        }
    });
}

std::vector<Fleet::Machine *> Fleet::draw(double share)
{
    std::vector<Machine *> up;
    for (Machine &it : m_machines) {
        if (it.worker) {
            up.push_back(&it);
        }
    }
    std::shuffle(up.begin(), up.end(), m_surroundings.random);
    up.resize(static_cast<std::size_t>(std::ceil(double(up.size()) * share)));
    return up;
}

void Fleet::crash(double share, Base::Duration pause)
{
    for (Machine *it : draw(share)) {
        restart(it->worker->place().id, pause);
    }
}

void Fleet::recut(double share)
{
    auto &random = m_surroundings.random;
    const auto between = [&random](Milliseconds least, Milliseconds most) {
        return Milliseconds(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(random));
    };
    std::vector<Machine *> drawn = draw(1);
    const auto count = static_cast<std::size_t>(std::ceil(double(drawn.size()) * share));
    const auto place = between(0ms, 1ms) == 0ms ? &Machine::zone : &Machine::rack;
    std::erase_if(drawn, [](const Machine *it) { return it->isRecut; });
    std::erase_if(drawn, [place, first = drawn.empty() ? nullptr : drawn.front()](const Machine *it) {
        return it->*place != first->*place;
    });
    drawn.resize(std::min(drawn.size(), count));
    for (Machine *it : drawn) {
        const std::string id = it->worker->place().id;
        const Base::Duration startAt = between(50ms, 600ms);
        const Base::Duration cutAt = startAt + between(1s, 2s);
        const Base::Duration registersAfter = between(0ms, 1ms) == 0ms ? between(0ms, 1500ms) : cutAt;
        it->returning = id;
        it->isRecut = true;
        auto &timers = m_surroundings.timers;
        timers.subscribeAfter(startAt, [this, it, id, door = it->worker->door(), registersAfter] {
            it->returning.clear();
            startWorker(*it, id, door, registersAfter);
        });
        timers.subscribeAfter(cutAt, [this, it, id] { setCutOff(*it, id, true); });
        timers.subscribeAfter(cutAt + between(6s, 9s), [this, it, id] {
            it->isRecut = false;
            setCutOff(*it, id, false);
        });
        endWorker(*it);
    }
}

void Fleet::setCutOff(Machine &machine, const std::string &worker, bool isCutOff)
{
    if (machine.worker && machine.worker->place().id == worker) {
        machine.worker->setCutOff(isCutOff);
        expireEntry(worker);
    }
}

void Fleet::setLateShare(double share)
{
    for (Machine &it : m_machines) {
        if (it.worker) {
            it.worker->door()->setLateShare(share);
        }
    }
}

void Fleet::shrink(double share, double factor, Base::Duration time)
{
    for (Machine *it : draw(share)) {
        Jobs::Resources capacity = m_shape.machine;
        capacity.milliCores = std::llround(double(capacity.milliCores) * factor);
        capacity.memory = std::llround(double(capacity.memory) * factor);
        it->worker->setCapacity(capacity);
        m_surroundings.timers.subscribeAfter(time, [this, it] {
            if (it->worker) {
                it->worker->setCapacity(m_shape.machine);
            }
        });
    }
}

void Fleet::fail(double share, Base::Duration time)
{
    for (Machine *it : draw(share)) {
        it->worker->setFailing(true);
        m_surroundings.timers.subscribeAfter(time, [it] {
            if (it->worker) {
                it->worker->setFailing(false);
            }
        });
    }
}

void Fleet::slowDown(double share, Base::Duration delay, Base::Duration time)
{
    for (Machine *it : draw(share)) {
        it->worker->setDelay(delay);
        m_surroundings.timers.subscribeAfter(time, [it] {
            if (it->worker) {
                it->worker->setDelay({});
            }
        });
    }
}

void Fleet::handle(const Http::Request &request, const Http::Responder &respond)
{
    Http::Response response = request.method == "GET" ? list(request.target) : move(request);
    m_surroundings.timers.subscribeAfter(AnswerTime,
                                         [respond, response = std::move(response)] { respond(response); });
}

Http::Response Fleet::list(const std::string &target) const
{
    const auto equals = target.find('=');
    const std::size_t first = equals == std::string::npos ? 0 : std::stoul(target.substr(equals + 1));
    json::array rows;
    std::size_t n = first;
    for (; n < m_machines.size() && rows.size() < MachinesPerPage; ++n) {
        const Machine &it = m_machines[n];
        rows.push_back(json::object{{"Machine", it.id},
                                    {"Pool", it.pool},
                                    {"State", it.state},
                                    {"Zone", it.zone},
                                    {"Labels", json::array{"a", it.rack}},
                                    {"Capacity",
                                     json::object{{"Cpu", m_shape.machine.milliCores},
                                                  {"MemMb", m_shape.machine.memory},
                                                  {"Gpu", 0}}},
                                    {"Id", it.worker ? it.worker->place().id : it.returning}});
    }
    json::object page{{"Machines", std::move(rows)}, {"NextToken", nullptr}};
    if (n < m_machines.size()) {
        page["NextToken"] = std::to_string(n);
    }
    return Http::Response{.body = json::serialize(page)};
}

Http::Response Fleet::move(const Http::Request &request)
{
    const auto conflict = [](std::string_view reason) {
        return Http::Response{.status = 409, .body = json::serialize(json::object{{"Reason", reason}})};
    };
    if (request.target != "/machine-move") {
        return conflict("wave");
    }
    const json::value parsed = json::parse(request.body);
    const json::object &order = parsed.as_object();
    const std::string id = Jobs::textOrEmpty(order, "Machine");
    const std::string pool = Jobs::textOrEmpty(order, "Pool");
    const auto it = std::find_if(
        m_machines.begin(), m_machines.end(), [&id](const Machine &machine) { return machine.id == id; });
    if (it == m_machines.end()) {
        return Http::Response{.status = 400};
    }
    const std::uint64_t token = std::stoull("0" + std::string(request.field("Fencing-Token")));
    if (token < it->token) {
        return conflict("fence");
    }
    it->token = token;
    if (it->pool == pool) {
        return Http::Response{.body = "{}"};
    }
    if (it->state != "up" || !it->returning.empty()) {
        return conflict("busy");
    }
    if (it->worker) {
        endWorker(*it);
    }
    ++m_moves;
    it->pool = pool;
    it->state = "moving";
    m_surroundings.timers.subscribeAfter(MoveTime, [this, machine = &*it] {
        machine->state = "up";
        if (!serviceOf(machine->pool).isStandby) {
            startWorker(*machine, fmt::format("i-{:06}", ++m_lastWorker));
        }
    });
    return Http::Response{.body = "{}"};
}

} // namespace Soak
