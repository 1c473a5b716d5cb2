#include "members.h"

#include <fmt/format.h>

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <utility>

using namespace std::chrono_literals;

namespace Soak
{

namespace
{

constexpr Base::Duration RestartPause = 300ms;
constexpr Base::Duration SupervisionPeriod = 100ms;
constexpr const char *SettingsVariable = "RHUBARBCRANK_SETTINGS";

constexpr std::uint16_t FirstPort = 20'000; // below those that outgoing connections get
constexpr std::size_t PortsPerMember = 4;

/// A loopback address of this run, so that runs side by side don't take each other's ports.
std::string ownAddress()
{
    const auto pid = static_cast<unsigned>(::getpid());
    return fmt::format("127.{}.{}.{}", 1 + pid / 62500 % 250, pid / 250 % 250, 1 + pid % 250);
}

} // namespace

Members::Members(Base::TimerService &timers,
                 const Shape &shape,
                 std::vector<std::string> programs,
                 std::filesystem::path folder,
                 std::uint16_t storePort,
                 std::uint16_t machinesPort)
    : m_timers(timers)
    , m_address(ownAddress())
    , m_programs(std::move(programs))
    , m_folder(std::move(folder))
    , m_storePort(storePort)
    , m_machinesPort(machinesPort)
{
    for (std::size_t n = 0; n < shape.members; ++n) {
        Member member;
        member.zone = shape.zones[n % shape.zones.size()];
        member.name = fmt::format("member-{}-{}", member.zone, n / shape.zones.size() + 1);
        member.isStrong = n < shape.strongMembers;
        member.firstPort = static_cast<std::uint16_t>(FirstPort + PortsPerMember * n);
        member.nextProgram = n % m_programs.size();
        m_members.push_back(std::move(member));
    }
}

std::vector<Entry> Members::entries() const
{
    std::vector<Entry> entries;
    for (const Member &it : m_members) {
        const auto readiness = static_cast<std::uint16_t>(it.firstPort + 1);
        entries.push_back({it.zone, {m_address, it.firstPort}, {m_address, readiness}});
    }
    return entries;
}

void Members::start()
{
    for (Member &it : m_members) {
        startMember(it);
    }
    m_timers.subscribeEvery(SupervisionPeriod, [this] { supervise(); });
}

void Members::startMember(Member &member)
{
    const std::filesystem::path settings = m_folder / (member.name + ".ini");
    std::ofstream text(settings);
    text << fmt::format("[instance]\nname = {}\nzone = {}\ncores = {}\nlink_mbps = {}\n",
                        member.name,
                        member.zone,
                        member.isStrong ? 0.5 : 0.12,
                        member.isStrong ? 200 : 10);
    int port = member.firstPort;
    for (const char *it : {"callers", "readiness", "peers", "operators"}) {
        text << fmt::format("[{}]\naddress = {}:{}\n", it, m_address, port++);
    }
    text << fmt::format(
        "[store]\naddress = 127.0.0.1:{}\n[machines]\naddress = 127.0.0.1:{}\n", m_storePort, m_machinesPort);
    text.close();
    ::setenv(SettingsVariable, settings.c_str(), 1);
    const std::string &program = m_programs[member.nextProgram++ % m_programs.size()];
    member.process = std::make_unique<Process>(std::vector<std::string>{program}, m_folder / member.name);
    member.wasSignalled = false;
    member.isRestarting = false;
}

void Members::supervise()
{
    for (Member &it : m_members) {
        if (m_isStopping || it.isRestarting || !it.process->hasEnded()) {
            continue;
        }
        m_ownEnds += it.wasSignalled ? 0 : 1;
        it.isRestarting = true;
        m_timers.subscribeAfter(RestartPause, [this, &it] {
            if (!m_isStopping) {
                startMember(it);
            }
        });
    }
}

std::vector<Members::Member *> Members::draw(double share, std::mt19937 &random)
{
    std::vector<Member *> drawn;
    for (Member &it : m_members) {
        drawn.push_back(&it);
    }
    std::shuffle(drawn.begin(), drawn.end(), random);
    drawn.resize(static_cast<std::size_t>(std::ceil(double(drawn.size()) * share)));
    return drawn;
}

void Members::signal(double share, int number, Base::Duration gap, std::mt19937 &random)
{
    Base::Duration delay{};
    for (Member *it : draw(share, random)) {
        m_timers.subscribeAfter(delay, [this, it, number] {
            if (!m_isStopping) {
                it->wasSignalled = it->wasSignalled || number != SIGHUP;
                it->process->signal(number);
            }
        });
        delay += gap;
    }
}

void Members::suspend(double share, Base::Duration time, std::mt19937 &random)
{
    for (Member *it : draw(share, random)) {
        it->process->signal(SIGSTOP);
        m_timers.subscribeAfter(time, [it] { it->process->signal(SIGCONT); });
    }
}

void Members::stop()
{
    m_isStopping = true;
    for (Member &it : m_members) {
        it.process->kill();
    }
}

std::size_t Members::ownEnds() const
{
    return m_ownEnds;
}

} // namespace Soak
