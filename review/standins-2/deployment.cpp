#include "deployment.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <future>
#include <thread>

using namespace std::chrono_literals;

namespace Review
{

namespace
{

namespace json = boost::json;

constexpr const char *SettingsVariable = "RHUBARBCRANK_SETTINGS";
constexpr const char *Host = "review.example";
constexpr std::uint16_t PortsPerMember = 4;
constexpr std::uint16_t FirstPort = 21'000; // below those that outgoing connections get
constexpr auto ReadyTimeout = 30s;
constexpr Base::Duration ClientTimeout = 3s; // Deadline-Ms
constexpr int MaxAttempts = 5; // the first and four retries
constexpr std::size_t MaxLoggedBody = 60;

/// A loopback address of this run, so that runs side by side don't take each other's ports.
std::string ownAddress()
{
    const auto pid = static_cast<unsigned>(::getpid());
    return fmt::format("127.{}.{}.{}", 1 + pid / 62500 % 250, pid / 250 % 250, 1 + pid % 250);
}

bool isFree(const std::string &address, std::uint16_t port)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context);
    boost::system::error_code ec;
    acceptor.open(boost::asio::ip::tcp::v4(), ec);
    acceptor.bind({boost::asio::ip::make_address(address), port}, ec);
    return !ec;
}

/// The first of several free ports in a row, from `first` on.
std::uint16_t freePorts(const std::string &address, std::uint16_t first)
{
    while (true) {
        bool areFree = true;
        for (std::uint16_t n = 0; n < PortsPerMember; ++n) {
            areFree = areFree && isFree(address, first + n);
        }
        if (areFree) {
            return first;
        }
        first += PortsPerMember;
    }
}

} // namespace

void pause(Milliseconds time)
{
    std::this_thread::sleep_for(time);
}

bool waitFor(const std::function<bool()> &condition, Milliseconds most)
{
    return eventually(condition, most);
}

std::string encode(const Job &job)
{
    json::array phases;
    for (const Step &it : job.steps) {
        json::object phase{{"Count", it.count},
                           {"Cpu", it.milliCores},
                           {"MemMb", it.memory},
                           {"EstimateMs", it.work.count()}};
        if (!it.dependsOn.empty()) {
            phase["DependsOn"] = json::array(it.dependsOn.begin(), it.dependsOn.end());
        }
        if (it.isLongRunning) {
            phase["LongRunning"] = true;
        }
        if (it.isGang) {
            phase["Gang"] = true;
        }
        if (it.perWorker > 0) {
            phase["AntiAffinity"] = it.perWorker;
        }
        phases.push_back(std::move(phase));
    }
    return json::serialize(json::object{{"Spec", "review " + job.id}, {"Phases", std::move(phases)}});
}

std::string configuration(std::uint64_t version,
                          const std::vector<Queue> &queues,
                          const std::vector<std::string> &services)
{
    json::array routes;
    for (const Queue &it : queues) {
        routes.push_back(json::object{{"Name", it.name},
                                      {"Host", Host},
                                      {"PathPrefix", it.prefix},
                                      {"Kind", "non_idempotent"},
                                      {"TimeoutMs", 3000},
                                      {"TargetLatencyMs", 600},
                                      {"Priority", 0},
                                      {"Service", it.service},
                                      {"MaxAttempts", 4},
                                      {"SlackFactor", 1.6}});
        if (it.hasAdvice) {
            routes.back().as_object()["Advice"] = json::object{{"DecideMs", DecideTime.count()},
                                                               {"PeriodMs", PeriodTime.count()},
                                                               {"ValidMs", TicketTime.count()}};
        }
    }
    json::array list;
    for (const std::string &it : services) {
        list.push_back(json::object{{"Name", it}, {"EnforcesCapacity", true}});
    }
    return json::serialize(json::object{{"Version", version},
                                        {"Routes", std::move(routes)},
                                        {"Services", std::move(list)},
                                        {"Limits", json::object{}}});
}

Deployment::Deployment(const std::string &program, World &world, std::size_t members)
    : m_program(program)
    , m_world(world)
    , m_folder(std::filesystem::temp_directory_path() / fmt::format("rhubarbcrank-review-{}", ::getpid()))
    , m_address(ownAddress())
    , m_eventLoop("review")
{
    std::filesystem::create_directories(m_folder);
    auto &context = m_eventLoop.context();
    auto &timers = m_eventLoop.timers();
    m_store = std::make_unique<Soak::Store>(context, timers, 1);
    m_front = std::make_unique<StoreFront>(context, timers, m_store->port(), world);
    m_cloud = std::make_unique<Cloud>(context, timers, *m_store, world);
    m_advice = std::make_unique<Advice>(context, timers, world);
    m_client = std::make_unique<Http::Client>(context, timers, Http::ClientLimits{});
    std::uint16_t port = FirstPort;
    for (std::size_t n = 0; n < members; ++n) {
        port = freePorts(m_address, port);
        m_members.push_back({fmt::format("entry-{}", n + 1), port});
        port += PortsPerMember;
    }
    m_eventLoop.start();
}

Deployment::~Deployment()
{
    for (Member &it : m_members) {
        if (it.process) {
            it.process->kill();
        }
    }
    m_eventLoop.stop();
    std::error_code ec;
    if (!m_world.isBroken() || std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_folder, ec);
    } else {
        fmt::print("logs: {}\n", m_folder.string());
    }
}

World &Deployment::world()
{
    return m_world;
}

void Deployment::perform(const std::function<void(Cloud &)> &task)
{
    std::promise<void> done;
    m_eventLoop.post([&] {
        task(*m_cloud);
        done.set_value();
    });
    done.get_future().wait();
}

void Deployment::operate(const std::string &key, const std::string &value)
{
    std::promise<void> done;
    m_eventLoop.post([&] {
        m_store->put("keyed.op", key, value);
        done.set_value();
    });
    done.get_future().wait();
    m_world.note(fmt::format("the operator writes {}: {}", key, value));
}

std::string Deployment::status(const std::string &key)
{
    Http::Request request;
    request.target = "/log-read?Topic=keyed.status&part=0&From=0&WaitMs=0";
    const std::string log = send({"127.0.0.1", m_front->port()}, std::move(request)).body;
    const auto newest = log.rfind(key);
    return newest != std::string::npos ? log.substr(newest) : std::string();
}

void Deployment::start(Member &member)
{
    const std::filesystem::path settings = m_folder / (member.name + ".ini");
    std::ofstream text(settings);
    text << fmt::format("[instance]\nname = {}\nzone = zone-a\ncores = 0.25\nspeed = 1\nlink_mbps = 1000\n",
                        member.name);
    int port = member.firstPort;
    for (const char *it : {"callers", "readiness", "peers", "operators"}) {
        text << fmt::format("[{}]\naddress = {}:{}\n", it, m_address, port++);
    }
    text << fmt::format("[store]\naddress = 127.0.0.1:{}\nshards = 24\nleast_membership_ms = 1000\n",
                        m_front->port());
    text << fmt::format(
        "[machines]\naddress = 127.0.0.1:{}\nhand_over_ms = 3000\nmove_s = 1.5\nupkeep_s = 2\n",
        m_cloud->port());
    text << fmt::format("[advice]\naddress = 127.0.0.1:{}\n", m_advice->port());
    text << "[workers]\nlease_limit_ms = 6000\n[shutdown]\ngrace_s = 6\n";
    text.close();
    ::setenv(SettingsVariable, settings.c_str(), 1);
    member.process = std::make_unique<Process>(std::vector<std::string>{m_program}, m_folder / member.name);
    m_world.note(fmt::format("{} is started", member.name));
}

bool Deployment::isReady(const Member &member)
{
    Http::Request request;
    request.target = "/readyz";
    return send({m_address, static_cast<std::uint16_t>(member.firstPort + 1)}, std::move(request)).status
        == 200;
}

bool Deployment::start()
{
    for (Member &it : m_members) {
        start(it);
    }
    const bool areReady = waitFor(
        [this] {
            pause(50ms);
            return std::all_of(
                m_members.begin(), m_members.end(), [this](const Member &it) { return isReady(it); });
        },
        ReadyTimeout);
    m_world.note(areReady ? "all members are ready" : "the members do not become ready");
    return areReady;
}

Deployment::Member &Deployment::member(const std::string &name)
{
    return *std::find_if(
        m_members.begin(), m_members.end(), [&name](const Member &it) { return it.name == name; });
}

void Deployment::killMember(const std::string &name)
{
    m_world.note(fmt::format("{} is killed", name));
    member(name).process->kill();
}

void Deployment::startMember(const std::string &name)
{
    start(member(name));
}

Deployment::Answer Deployment::send(const Ini::Endpoint &to, Http::Request request)
{
    std::promise<Answer> done;
    auto answer = done.get_future();
    m_eventLoop.post([&, request = std::move(request)] {
        m_client->send(to, request, ClientTimeout, [&done](const Http::Outcome &outcome) {
            done.set_value(outcome.response ? Answer{outcome.response->status, outcome.response->body}
                                            : Answer{});
        });
    });
    return answer.get();
}

Deployment::Answer Deployment::call(std::size_t member,
                                    const std::string &method,
                                    const std::string &path,
                                    const std::string &body)
{
    Http::Request request;
    request.method = method;
    request.target = path;
    request.fields = {
        {"Host", Host},
        {"Content-Type", "application/json"},
        {"Deadline-Ms", std::to_string(std::chrono::duration_cast<Milliseconds>(ClientTimeout).count())}};
    request.body = body;
    const Member &to = m_members[member % m_members.size()];
    Answer answer = send({m_address, to.firstPort}, std::move(request));
    m_world.note(fmt::format("{} {} {} at {}: {} {}",
                             method,
                             path,
                             body.substr(0, body.size() > MaxLoggedBody ? MaxLoggedBody : body.size()),
                             to.name,
                             answer.status == 0 ? "no answer" : std::to_string(answer.status),
                             answer.body));
    return answer;
}

bool Deployment::submit(const std::string &prefix, const Job &job)
{
    m_world.add(job);
    for (int n = 0; n < MaxAttempts; ++n) {
        const Answer answer = call(m_next++, "POST", prefix + job.id, encode(job));
        if (answer.status >= 200 && answer.status < 300) {
            return true;
        }
        pause(answer.status == 503 ? 1000ms : 200ms);
    }
    return false;
}

Deployment::Answer Deployment::stateOf(const std::string &prefix, const std::string &job)
{
    Answer answer;
    for (std::size_t n = 0; n < m_members.size(); ++n) {
        answer = call(m_next++, "GET", prefix + job);
        if (answer.status == 200 || answer.status == 410) {
            return answer;
        }
    }
    return answer;
}

} // namespace Review
