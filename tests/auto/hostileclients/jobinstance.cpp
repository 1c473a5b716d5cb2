#include "jobinstance.h"

#include <base/logline.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <future>
#include <stdexcept>

namespace
{

constexpr const char *Bin = RHUBARBCRANK_BIN;
constexpr std::uint32_t Seed = 1;
constexpr double Scale = 0.05;

// The machine that the process is told it has.
constexpr int MemoryMegabytes = 64;
constexpr int Descriptors = 300;

constexpr std::size_t Workers = 24;
constexpr std::chrono::milliseconds BeatTime{500};
constexpr std::size_t PeerQueues = 4; // each of a service of its own
constexpr std::size_t ServicesBetween = 14; // a peer that joins gets the later half of the 24 shards

std::uint16_t freePort()
{
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

} // namespace

JobInstance::JobInstance()
    : m_shape(Soak::makeShape(Scale, 1, 1))
    , m_eventLoop("standins")
{
    Base::LogLine::setThreshold(Base::LogLevel::Error);
    std::string name = (std::filesystem::temp_directory_path() / "hostileclients-XXXXXX").string();
    if (!::mkdtemp(name.data())) {
        throw std::runtime_error("no temporary folder");
    }
    m_folder = name;
    auto &context = m_eventLoop.context();
    m_store = std::make_unique<Soak::Store>(context, m_eventLoop.timers(), Seed);
    m_machines = std::make_unique<Http::Server>(
        context,
        m_eventLoop.timers(),
        Ini::Endpoint{"127.0.0.1", 0},
        Http::ServerLimits{},
        [](const Http::Request &, const Http::Responder &respond) {
            respond(Http::Response{.body = R"({"Machines":[],"NextToken":""})"});
        });
}

JobInstance::~JobInstance()
{
    m_process.reset();
    m_endless.reset();
    m_eventLoop.stop();
    std::filesystem::remove_all(m_folder);
}

// The process tells the store from the others by its port, so each of them gets one of its own.
EndlessAnswers &JobInstance::replace(Neighbour neighbour)
{
    m_replaced = neighbour;
    const auto upstream = neighbour == Neighbour::Store ? m_store->port()
        : neighbour == Neighbour::Machines              ? m_machines->port()
                                                        : std::uint16_t{0};
    m_endless = std::make_unique<EndlessAnswers>(upstream);
    for (std::size_t n = 0; neighbour == Neighbour::Peer && n < ServicesBetween; ++n) {
        m_shape.services.push_back({.name = fmt::format("idle-{}", n)});
    }
    return *m_endless;
}

bool JobInstance::start(std::size_t padding)
{
    m_knowsMemory = knowsMemory();
    m_store->put("keyed.op", "config", configuration(padding));
    if (isReplaced(Neighbour::Workers) || isReplaced(Neighbour::Advice)) {
        listWorkers();
        m_eventLoop.timers().subscribeEvery(BeatTime, [this] { listWorkers(); });
    }
    m_eventLoop.start();
    return startProcess() && acceptsJob() && (!isReplaced(Neighbour::Peer) || joinAsPeer());
}

bool JobInstance::isAlive()
{
    return !m_process->hasEnded();
}

Footprint JobInstance::footprint() const
{
    return footprintOf(m_process->id());
}

std::uint16_t JobInstance::port(Door door) const
{
    return m_ports[static_cast<std::size_t>(door)];
}

bool JobInstance::acceptsJob()
{
    return eventually([&] {
               if (m_process->hasEnded()) {
                   return true;
               }
               try {
                   TestCaller caller(port(Door::Callers));
                   caller.send(nextJob());
                   return caller.read().status == 200;
               } catch (const std::exception &) {
                   return false;
               }
           })
        && isAlive();
}

void JobInstance::handInJobs(std::size_t count)
{
    for (std::size_t n = 0; n < count; ++n) {
        m_callers.push_back(std::make_unique<TestCaller>(port(Door::Callers)));
        m_callers.back()->send(nextJob());
    }
}

// The jobs of a queue have one shard, so with a peer they are of several queues.
std::string JobInstance::nextJob()
{
    const std::size_t queue = isReplaced(Neighbour::Peer) ? m_lastJob % PeerQueues : 0;
    const std::string body =
        R"({"Spec":"proof","Phases":[{"Count":1,"Cpu":500,"MemMb":256,"EstimateMs":500}]})";
    return fmt::format("POST {}{:016x} HTTP/1.1\r\nHost: soak.example\r\nX-Api-Key: {}\r\n"
                       "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
                       m_shape.queues[queue].prefix,
                       ++m_lastJob,
                       m_shape.workspaces.front().key,
                       body.size(),
                       body);
}

std::string JobInstance::log() const
{
    return m_process->output() + m_process->log();
}

// Another process may take the ports first.
bool JobInstance::startProcess()
{
    return eventually([&] {
        for (std::uint16_t &it : m_ports) {
            it = freePort();
        }
        const auto file = m_folder / "settings.ini";
        std::ofstream(file) << settings();
        m_process = std::make_unique<Process>(
            std::vector<std::string>{fmt::format("{}/rhubarbcrank-jobs", Bin), "--settings", file.string()},
            m_folder / fmt::format("process-{}", m_ports[0]));
        return eventually(
                   [&] { return m_process->hasEnded() || log().find("event=started") != std::string::npos; })
            && !m_process->hasEnded();
    });
}

std::string JobInstance::settings() const
{
    std::string text = "[instance]\nname = member-1\nzone = zone-a\n";
    if (m_knowsMemory) {
        text += fmt::format("memory_mb = {}\ndescriptors = {}\n", MemoryMegabytes, Descriptors);
    }
    const char *const doors[] = {"callers", "readiness", "peers", "operators"};
    for (std::size_t n = 0; n < std::size(doors); ++n) {
        text += fmt::format("[{}]\naddress = 127.0.0.1:{}\n", doors[n], m_ports[n]);
    }
    if (isReplaced(Neighbour::Advice)) {
        text += fmt::format("[advice]\naddress = 127.0.0.1:{}\n", m_endless->port());
    }
    return text
        + fmt::format("[store]\naddress = 127.0.0.1:{}\n[machines]\naddress = 127.0.0.1:{}\n",
                      isReplaced(Neighbour::Store) ? m_endless->port() : m_store->port(),
                      isReplaced(Neighbour::Machines) ? m_endless->port() : m_machines->port());
}

std::string JobInstance::configuration(std::size_t padding) const
{
    std::string text = Soak::configuration(m_shape, 1);
    text.insert(text.size() - 1, fmt::format(R"(,"Padding":"{}")", std::string(padding, 'x')));
    if (isReplaced(Neighbour::Advice)) {
        const std::string route = fmt::format(R"("Name":"{}",)", m_shape.queues.front().name);
        text.insert(text.find(route) + route.size(), R"("Advice":{"DecideMs":20,"PeriodMs":1},)");
    }
    return text;
}

bool JobInstance::isReplaced(Neighbour neighbour) const
{
    return m_replaced == neighbour;
}

void JobInstance::listWorkers()
{
    ++m_beats;
    for (std::size_t n = 0; n < Workers; ++n) {
        m_store->put(
            "keyed.servers",
            fmt::format("i-{:06}", n + 1),
            fmt::format(R"({{"Service":"{}","Address":"127.0.0.1:{}","Zone":"zone-a","Version":"v1",)"
                        R"("Slots":8,"State":"ready","ColdRemainingMs":0,"Sequence":{},)"
                        R"("Machine":"m-{}","born":1000,"ClockMs":{},)"
                        R"("Capacity":{{"Cpu":32000,"MemMb":131072,"Gpu":0}},"Labels":["a","r1-1"]}})",
                        m_shape.queues.front().service,
                        m_endless->port(),
                        m_beats,
                        n + 1,
                        1000 + m_beats * BeatTime.count()));
    }
}

// A member of the store's group that gets shards. Until it ends no answer, the process itself answers in its
// place, as it sends nothing to a peer that is gone. Returns when jobs are passed on.
bool JobInstance::joinAsPeer()
{
    m_endless->setUpstream(port(Door::Peers));
    const std::string body =
        fmt::format(R"({{"Member":"127.0.0.1:{}/member-2/1000/1","Topics":["keyed.jobs"],)"
                    R"("TtlMs":600000,"Generation":1000}})",
                    m_endless->port());
    const bool isOwner = eventually([&] {
        const auto answer = TestCaller(m_store->port())
                                .request("POST", "/log-join?group=shards", "Connection: close\r\n", body);
        return answer.status == 200 && answer.body.find("keyed.jobs") != std::string::npos;
    });
    return isOwner && eventually([&] { return acceptsJob() && m_endless->connections() > 0; });
}

// A build from before the setting refuses it, and is given none.
bool JobInstance::knowsMemory()
{
    Process print({fmt::format("{}/rhubarbcrank-jobs", Bin), "--print-settings"}, m_folder / "print");
    return print.wait() == 0 && print.output().find("memory_mb") != std::string::npos;
}
