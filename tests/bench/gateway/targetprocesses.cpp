#include "targetprocesses.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <stdexcept>
#include <string>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Bench
{

namespace
{

constexpr const char *Program = RHUBARBCRANK_BIN "/targetstandin";
constexpr const char *AnyPort = "127.0.0.1:0";

std::uint16_t readPort(int descriptor)
{
    std::string text;
    char c = 0;
    while (::read(descriptor, &c, 1) == 1 && c != '\n') {
        text += c;
    }
    return text.empty() ? std::uint16_t{0} : static_cast<std::uint16_t>(std::stoul(text));
}

} // namespace

TargetProcesses::TargetProcesses(std::size_t count)
{
    for (std::size_t n = 0; n < count; ++n) {
        startOne();
    }
}

TargetProcesses::~TargetProcesses()
{
    for (const pid_t it : m_processes) {
        ::kill(it, SIGTERM);
        ::waitpid(it, nullptr, 0);
    }
}

const std::vector<Address> &TargetProcesses::addresses() const
{
    return m_addresses;
}

void TargetProcesses::startOne()
{
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("no pipe for a target");
    }
    posix_spawn_file_actions_t actions{};
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    std::string program = Program;
    std::string listen = AnyPort;
    std::array<char *, 3> arguments{program.data(), listen.data(), nullptr};
    pid_t process = 0;
    const int error = ::posix_spawn(&process, Program, &actions, nullptr, arguments.data(), environ);
    ::posix_spawn_file_actions_destroy(&actions);
    ::close(ends[1]);
    if (error == 0) {
        m_processes.push_back(process);
        m_addresses.push_back({"127.0.0.1", readPort(ends[0])});
    }
    ::close(ends[0]);
    if (error != 0 || m_addresses.back().port == 0) {
        throw std::runtime_error(std::string("can't start ") + Program);
    }
}

} // namespace Bench
