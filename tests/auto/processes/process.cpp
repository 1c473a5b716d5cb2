#include "process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace
{

constexpr int ExitNotStarted = 127;
constexpr int SignalStatusBase = 128;
constexpr int FileMode = 0600;
constexpr std::chrono::milliseconds PollPeriod{2};

void redirect(int descriptor, const std::string &file)
{
    const int opened = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND, FileMode);
    ::dup2(opened, descriptor);
    ::close(opened);
}

} // namespace

Process::Process(const std::vector<std::string> &command, const std::filesystem::path &files)
    : m_files(files)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const auto &it : command) {
        arguments.push_back(const_cast<char *>(it.c_str()));
    }
    arguments.push_back(nullptr);
    const std::string out = files.string() + ".out";
    const std::string log = files.string() + ".log";
    m_pid = ::fork();
    if (m_pid < 0) {
        throw std::runtime_error("can't fork");
    }
    if (m_pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        redirect(STDOUT_FILENO, out);
        redirect(STDERR_FILENO, log);
        ::execv(arguments.front(), arguments.data());
        ::_exit(ExitNotStarted);
    }
}

Process::~Process()
{
    kill();
}

// A process that has ended keeps its number until it is waited for, which hasEnded() alone does.
void Process::signal(int number) const
{
    if (!m_status) {
        ::kill(m_pid, number);
    }
}

void Process::kill()
{
    signal(SIGKILL);
    wait();
}

std::optional<int> Process::wait()
{
    eventually([this] { return hasEnded(); });
    return m_status;
}

bool Process::hasEnded()
{
    int status = 0;
    if (!m_status && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_status = WIFEXITED(status) ? WEXITSTATUS(status) : SignalStatusBase + WTERMSIG(status);
    }
    return m_status.has_value();
}

int Process::id() const
{
    return m_pid;
}

std::string Process::output() const
{
    return contentOf(m_files.string() + ".out");
}

std::string Process::log() const
{
    return contentOf(m_files.string() + ".log");
}

bool eventually(const std::function<bool()> &condition, std::chrono::milliseconds bound)
{
    const auto end = std::chrono::steady_clock::now() + bound;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(PollPeriod);
    }
    return true;
}

std::string contentOf(const std::filesystem::path &file)
{
    std::ostringstream text;
    text << std::ifstream(file).rdbuf();
    return text.str();
}
