#include "cluster.h"

#include "../gateway/testcaller.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/json/parse.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace
{

constexpr const char *Bin = RHUBARBCRANK_BIN;
constexpr const char *Share = RHUBARBCRANK_SHARE;

/// What follows `name` in the output of a process, as a number; waits for it.
std::uint16_t portAfter(const std::function<std::string()> &text, std::string_view name)
{
    std::uint16_t port = 0;
    eventually([&] {
        const std::string all = text();
        const auto at = all.find(name);
        if (at == std::string::npos || all.find_first_of(" \n", at + name.size()) == std::string::npos) {
            return false;
        }
        port = static_cast<std::uint16_t>(std::atoi(all.c_str() + at + name.size()));
        return true;
    });
    return port;
}

std::uint16_t freePort()
{
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

/// The answer's body, empty when the other side can't be reached.
CallerAnswer
ask(std::uint16_t port, std::string_view method, std::string_view target, std::string_view body = {})
{
    try {
        return TestCaller(port).request(method, target, "Connection: close\r\n", body);
    } catch (const std::exception &) {
        return {};
    }
}

std::uint64_t numberIn(const CallerAnswer &answer, const std::string &key)
{
    boost::json::error_code ec;
    const auto page = boost::json::parse(answer.body, ec);
    const auto *value = !ec && page.is_object() ? page.get_object().if_contains(key) : nullptr;
    if (!value) {
        return 0;
    }
    if (value->is_bool()) {
        return value->get_bool() ? 1 : 0;
    }
    return value->to_number<std::uint64_t>(ec);
}

} // namespace

Cluster::Cluster()
{
    std::string name = (std::filesystem::temp_directory_path() / "processes-XXXXXX").string();
    if (!::mkdtemp(name.data())) {
        throw std::runtime_error("no temporary folder");
    }
    m_folder = name;
}

Cluster::~Cluster()
{
    m_daemons.clear();
    m_targets.clear();
    m_platform.reset();
    std::filesystem::remove_all(m_folder);
}

bool Cluster::start(const ClusterShape &shape)
{
    m_shape = shape;
    m_platform = std::make_unique<Process>(std::vector<std::string>{fmt::format("{}/platformstandin", Bin)},
                                           file("platform"));
    m_targets.resize(shape.targetFaults.size());
    for (std::size_t n = 0; n < m_targets.size(); ++n) {
        if (!startTarget(n, 0)) {
            return false;
        }
    }
    m_peersPorts.resize(shape.daemons);
    m_daemons.resize(shape.daemons);
    for (std::size_t n = 0; n < shape.daemons; ++n) {
        if (!startDaemon(n)) {
            return false;
        }
    }
    listInstances();
    if (publish(1, {"--wait"})->wait() != 0) {
        return false;
    }
    return eventually([&] {
        bool areReady = true;
        for (std::size_t n = 0; n < shape.daemons; ++n) {
            areReady = areReady && isReady(n);
        }
        return areReady;
    });
}

// Another process may take the port that is meant for peers first.
bool Cluster::startDaemon(std::size_t n)
{
    m_daemons[n].reset();
    return eventually([&] {
        const auto settings = file("settings");
        m_peersPorts[n] = freePort();
        std::ofstream(settings) << settingsOf(n);
        const std::vector<std::string> command{fmt::format("{}/rhubarbcrankd", Bin),
                                               "--settings=" + settings.string(),
                                               fmt::format("--share={}", Share)};
        m_daemons[n] = std::make_unique<Process>(command, file("daemon"));
        return eventually([&] {
                   return m_daemons[n]->hasEnded()
                       || m_daemons[n]->log().find("event=started") != std::string::npos;
               })
            && !m_daemons[n]->hasEnded();
    });
}

bool Cluster::restartTarget(std::size_t n)
{
    return startTarget(n, targetPort(n));
}

bool Cluster::startTarget(std::size_t n, std::uint16_t port)
{
    m_targets[n].reset();
    return eventually([&] {
        const std::vector<std::string> command{fmt::format("{}/recordingtarget", Bin),
                                               (m_folder / "executions").string(),
                                               fmt::format("worker-{}", n),
                                               m_shape.targetFaults[n],
                                               fmt::format("{}", port)};
        m_targets[n] = std::make_unique<Process>(command, file("target"));
        return eventually([&] { return m_targets[n]->hasEnded() || !m_targets[n]->output().empty(); })
            && !m_targets[n]->hasEnded();
    });
}

void Cluster::listInstances(std::string_view leaving)
{
    std::string list;
    for (std::size_t n = 0; n < m_daemons.size(); ++n) {
        list +=
            fmt::format(R"({{"name":"entry-{}","kind":"entry","zone":"zone-a","rack":"","state":"live",)"
                        R"("callers":"127.0.0.1:{}","operators":"127.0.0.1:{}","peers":"127.0.0.1:{}"}},)",
                        n,
                        callersPort(n),
                        operatorsPort(n),
                        m_peersPorts[n]);
    }
    for (std::size_t n = 0; n < m_targets.size(); ++n) {
        const std::string name = fmt::format("worker-{}", n);
        list += fmt::format(R"({{"name":"{}","kind":"target","zone":"zone-a","rack":"rack-{}","state":"{}",)"
                            R"("callers":"","operators":"","peers":""}},)",
                            name,
                            n,
                            name == leaving ? "leaving" : "live");
    }
    list.pop_back();
    ask(portAfter([this] { return m_platform->output(); }, ""),
        "POST",
        "/control/instances",
        fmt::format(R"({{"instances":[{}]}})", list));
}

bool Cluster::setFaults(const std::string &faults)
{
    const auto port = portAfter([this] { return m_platform->output(); }, "");
    return ask(port, "POST", "/control/faults", faults).status == 200;
}

std::uint64_t Cluster::platformCount(const std::string &counter)
{
    const auto port = portAfter([this] { return m_platform->output(); }, "");
    return numberIn(ask(port, "GET", "/control/counters"), counter);
}

std::vector<std::string> Cluster::reboots()
{
    boost::json::error_code ec;
    const auto port = portAfter([this] { return m_platform->output(); }, "");
    const auto page = boost::json::parse(ask(port, "GET", "/control/actions").body, ec);
    std::vector<std::string> instances;
    if (!ec) {
        for (const auto &it : page.at("actions").as_array()) {
            instances.emplace_back(it.at("instance").as_string());
        }
    }
    return instances;
}

std::unique_ptr<Process> Cluster::publish(int moves, const std::vector<std::string> &options, int wave)
{
    const auto wanted = file("document");
    std::ofstream(wanted) << document(moves, wave);
    std::vector<std::string> command{fmt::format("{}/rhubarbcrank", Bin),
                                     "publish",
                                     platformAddress(),
                                     "--author=test",
                                     fmt::format("--share={}", Share)};
    command.insert(command.end(), options.begin(), options.end());
    command.push_back(wanted.string());
    return std::make_unique<Process>(command, file("publish"));
}

std::unique_ptr<Process> Cluster::replay()
{
    const std::vector<std::string> command{fmt::format("{}/rhubarbcrank", Bin),
                                           "replay",
                                           "--environment=trial",
                                           "--zone=zone-a",
                                           platformAddress(),
                                           fmt::format("--share={}", Share)};
    return std::make_unique<Process>(command, file("replay"));
}

std::string Cluster::platformAddress() const
{
    return fmt::format("--platform=127.0.0.1:{}", portAfter([this] { return m_platform->output(); }, ""));
}

Process &Cluster::platform()
{
    return *m_platform;
}

Process &Cluster::daemon(std::size_t n)
{
    return *m_daemons[n];
}

Process &Cluster::target(std::size_t n)
{
    return *m_targets[n];
}

std::uint16_t Cluster::callersPort(std::size_t n)
{
    return portAfter([&] { return m_daemons[n]->log(); }, "callers_port=");
}

std::uint16_t Cluster::operatorsPort(std::size_t n)
{
    return portAfter([&] { return m_daemons[n]->log(); }, "operators_port=");
}

std::uint16_t Cluster::targetPort(std::size_t n)
{
    return portAfter([&] { return m_targets[n]->output(); }, "");
}

bool Cluster::isReady(std::size_t n)
{
    return ask(operatorsPort(n), "GET", "/readyz").status == 200;
}

std::uint64_t Cluster::statusOf(std::size_t n, const std::string &key)
{
    return numberIn(ask(operatorsPort(n), "GET", "/status"), key);
}

std::vector<Execution> Cluster::executions() const
{
    std::vector<Execution> executions;
    std::istringstream lines(contentOf(m_folder / "executions"));
    Execution it;
    while (lines >> it.target >> it.key >> it.marker) {
        executions.push_back(it);
    }
    return executions;
}

std::size_t Cluster::executionsOf(std::string_view target) const
{
    std::size_t n = 0;
    for (const auto &it : executions()) {
        n += it.target == target ? 1 : 0;
    }
    return n;
}

std::filesystem::path Cluster::file(const std::string &name)
{
    return m_folder / fmt::format("{}-{}", name, ++m_files);
}

std::string Cluster::document(int moves, int wave)
{
    std::string text = fmt::format("[environment]\nname = trial\nzones = zone-a\n"
                                   "[pool workers]\nspare = true\n"
                                   "[service preview]\npool = workers\nroutes = /preview idempotent\n"
                                   "priority = interactive\ndeadline_ms = 5000\navailability_per_mille = 0\n"
                                   "[service proofs]\npool = workers\nroutes = /proofs\n"
                                   "priority = interactive\ndeadline_ms = 5000\navailability_per_mille = 0\n"
                                   "[weights]\nmoves = {}\n[maintenance]\nwave = {}\nwave_number = {}\n",
                                   moves,
                                   wave > 0 ? "workers" : "",
                                   wave);
    for (std::size_t n = 0; n < m_targets.size(); ++n) {
        text += fmt::format("[instance worker-{}]\npool = workers\nzone = zone-a\nrack = rack-{}\n"
                            "address = 127.0.0.1\nport = {}\nslots = 32\nconnections = 64\n",
                            n,
                            n,
                            m_shape.targetPorts.contains(n) ? m_shape.targetPorts.at(n) : targetPort(n));
    }
    return text;
}

std::string Cluster::settingsOf(std::size_t n)
{
    auto platformPort = portAfter([this] { return m_platform->output(); }, "");
    if (m_shape.platformFront) {
        platformPort = m_shape.platformFront(platformPort);
    }
    return fmt::format("[instance]\nname = entry-{}\nzone = zone-a\nenvironment = trial\n"
                       "[callers]\naddress = 127.0.0.1:0\n{}[operators]\naddress = 127.0.0.1:0\n"
                       "[peers]\naddress = 127.0.0.1:{}\n[platform]\naddress = 127.0.0.1:{}\n{}",
                       n,
                       m_shape.callersSettings,
                       m_peersPorts[n],
                       platformPort,
                       m_shape.settings);
}
