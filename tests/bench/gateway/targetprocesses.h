#pragma once

#include "loadgenerator.h"

#include <cstddef>
#include <vector>

#include <sys/types.h>

namespace Bench
{

/// Target stand-ins, each a process of its own with one target; they end with this object.
class TargetProcesses
{
public:
    /// Throws std::runtime_error when one can't be started.
    explicit TargetProcesses(std::size_t count);
    TargetProcesses(const TargetProcesses &) = delete;
    TargetProcesses &operator=(const TargetProcesses &) = delete;
    ~TargetProcesses();

    const std::vector<Address> &addresses() const;

private:
    void startOne();

    std::vector<pid_t> m_processes;
    std::vector<Address> m_addresses;
};

} // namespace Bench
