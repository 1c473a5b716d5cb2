#include "jobinstance.h"

#include "../gateway/testcaller.h"

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
}

JobInstance::~JobInstance()
{
    m_process.reset();
    m_eventLoop.stop();
    std::filesystem::remove_all(m_folder);
}

bool JobInstance::start(std::size_t padding)
{
    m_knowsMemory = knowsMemory();
    auto &context = m_eventLoop.context();
    m_store = std::make_unique<Soak::Store>(context, m_eventLoop.timers(), Seed);
    std::string text = Soak::configuration(m_shape, 1);
    text.insert(text.size() - 1, fmt::format(R"(,"Padding":"{}")", std::string(padding, 'x')));
    m_store->put("keyed.op", "config", text);
    m_machines = std::make_unique<Http::Server>(
        context,
        m_eventLoop.timers(),
        Ini::Endpoint{"127.0.0.1", 0},
        Http::ServerLimits{},
        [](const Http::Request &, const Http::Responder &respond) {
            respond(Http::Response{.body = R"({"Machines":[],"NextToken":""})"});
        });
    m_eventLoop.start();
    return startProcess() && acceptsJob();
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
    const std::string body =
        R"({"Spec":"proof","Phases":[{"Count":1,"Cpu":500,"MemMb":256,"EstimateMs":500}]})";
    return eventually([&] {
               if (m_process->hasEnded()) {
                   return true;
               }
               try {
                   const std::string id = fmt::format("{:016x}", ++m_lastJob);
                   TestCaller caller(port(Door::Callers));
                   caller.send(fmt::format("POST {}{} HTTP/1.1\r\nHost: soak.example\r\nX-Api-Key: {}\r\n"
                                           "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
                                           m_shape.queues.front().prefix,
                                           id,
                                           m_shape.workspaces.front().key,
                                           body.size(),
                                           body));
                   return caller.read().status == 200;
               } catch (const std::exception &) {
                   return false;
               }
           })
        && isAlive();
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
    return text
        + fmt::format("[store]\naddress = 127.0.0.1:{}\n[machines]\naddress = 127.0.0.1:{}\n",
                      m_store->port(),
                      m_machines->port());
}

// A build from before the setting refuses it, and is given none.
bool JobInstance::knowsMemory()
{
    Process print({fmt::format("{}/rhubarbcrank-jobs", Bin), "--print-settings"}, m_folder / "print");
    return print.wait() == 0 && print.output().find("memory_mb") != std::string::npos;
}
