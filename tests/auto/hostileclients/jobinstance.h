#pragma once

#include "../../soak/shape.h"
#include "../../soak/store.h"
#include "../processes/process.h"
#include "footprint.h"

#include <http/server.h>
#include <runtime/eventloopthread.h>

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>

/// One process of rhubarbcrank-jobs with a store of its own and no workers.
class JobInstance
{
public:
    enum class Door { Callers, Readiness, Peers, Operators };

    JobInstance();
    JobInstance(const JobInstance &) = delete;
    JobInstance &operator=(const JobInstance &) = delete;
    ~JobInstance();

    /// Returns when it accepts jobs. `padding` bytes make the configuration larger, which peers ask for.
    bool start(std::size_t padding = 0);

    bool isAlive();
    Footprint footprint() const;
    std::uint16_t port(Door door) const;

    /// Hands in another job; whether it is accepted, at the latest after a generous time.
    bool acceptsJob();

    std::string log() const;

private:
    bool startProcess();
    std::string settings() const;
    bool knowsMemory();

    std::filesystem::path m_folder;
    Soak::Shape m_shape;
    Runtime::EventLoopThread m_eventLoop;
    std::unique_ptr<Soak::Store> m_store;
    std::unique_ptr<Http::Server> m_machines;
    std::unique_ptr<Process> m_process;
    std::uint16_t m_ports[4]{};
    std::uint64_t m_lastJob = 0;
    bool m_knowsMemory = false;
};
