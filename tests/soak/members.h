#pragma once

#include "../auto/processes/process.h"
#include "callers.h"

#include <base/timerservice.h>

#include <csignal>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Soak
{

/// The members of the system as processes of their own. One that ends is started again. With several
/// programs, members next to each other run different ones, and each runs the next one when it starts again.
class Members
{
public:
    Members(Base::TimerService &timers,
            const Shape &shape,
            std::vector<std::string> programs,
            std::filesystem::path folder,
            std::uint16_t storePort,
            std::uint16_t machinesPort);

    std::vector<Entry> entries() const;
    void start();

    /// Sends the signal to this share of the members, one every `gap`.
    void signal(double share, int number, Base::Duration gap, std::mt19937 &random);
    /// Suspends this share of the members for the time.
    void suspend(double share, Base::Duration time, std::mt19937 &random);
    /// Ends all members for good.
    void stop();

    /// How many have ended without having been signalled.
    std::size_t ownEnds() const;

private:
    struct Member {
        std::string name;
        std::string zone;
        std::uint16_t firstPort = 0; ///< for callers; then readiness, peers, operators
        bool isStrong = false;
        std::size_t nextProgram = 0;
        std::unique_ptr<Process> process;
        bool wasSignalled = false;
        bool isRestarting = false;
    };

    void startMember(Member &member);
    void supervise();
    std::vector<Member *> draw(double share, std::mt19937 &random);

    Base::TimerService &m_timers;
    std::string m_address;
    std::vector<std::string> m_programs;
    std::filesystem::path m_folder;
    std::uint16_t m_storePort;
    std::uint16_t m_machinesPort;
    std::vector<Member> m_members;
    std::size_t m_ownEnds = 0;
    bool m_isStopping = false;
};

} // namespace Soak
