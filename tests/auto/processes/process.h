#pragma once

#include <chrono>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// A program started by a test, with its output in two files. It is killed with this object, and with the
/// test; so it has to be started from the runner's main thread.
class Process
{
public:
    /// The output goes to `files`.out, errors and logs to `files`.log.
    Process(const std::vector<std::string> &command, const std::filesystem::path &files);
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    ~Process();

    void signal(int number) const;

    /// Kills it, and returns when it is gone.
    void kill();

    /// Waits for its end, for a generous time. The exit status, 128 and the signal that ended it, or nothing.
    std::optional<int> wait();

    bool hasEnded();

    /// Its process ID.
    int id() const;

    std::string output() const;
    std::string log() const;

private:
    int m_pid = -1;
    std::filesystem::path m_files;
    std::optional<int> m_status;
};

/// Waits until `condition` holds, for a generous time; returns whether it does.
bool eventually(const std::function<bool()> &condition,
                std::chrono::milliseconds bound = std::chrono::seconds(20));

std::string contentOf(const std::filesystem::path &file);
