#pragma once

#include "../../soak/shape.h"
#include "../../soak/store.h"
#include "../gateway/testcaller.h"
#include "../processes/process.h"
#include "endlessanswers.h"
#include "footprint.h"

#include <http/server.h>
#include <runtime/eventloopthread.h>

#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// One process of rhubarbcrank-jobs with a store of its own, and no workers but those that never end an
/// answer.
class JobInstance
{
public:
    enum class Door { Callers, Readiness, Peers, Operators };
    enum class Neighbour { Store, Workers, Peer, Machines, Advice };

    JobInstance();
    JobInstance(const JobInstance &) = delete;
    JobInstance &operator=(const JobInstance &) = delete;
    ~JobInstance();

    /// To be called before the start: what is `neighbour` for the process ends no answer once told to.
    EndlessAnswers &replace(Neighbour neighbour);

    /// Returns when it accepts jobs. `padding` bytes make the configuration larger, which peers ask for.
    bool start(std::size_t padding = 0);

    bool isAlive();
    Footprint footprint() const;
    std::uint16_t port(Door door) const;

    /// Hands in another job; whether it is accepted, at the latest after a generous time.
    bool acceptsJob();

    /// Hands in jobs, but doesn't wait for their answers.
    void handInJobs(std::size_t count);

    std::string log() const;

private:
    bool startProcess();
    std::string settings() const;
    std::string configuration(std::size_t padding) const;
    std::string nextJob();
    bool knowsMemory();
    bool isReplaced(Neighbour neighbour) const;
    void listWorkers();
    bool joinAsPeer();

    std::filesystem::path m_folder;
    Soak::Shape m_shape;
    Runtime::EventLoopThread m_eventLoop;
    std::unique_ptr<Soak::Store> m_store;
    std::unique_ptr<Http::Server> m_machines;
    std::optional<Neighbour> m_replaced;
    std::unique_ptr<EndlessAnswers> m_endless;
    std::unique_ptr<Process> m_process;
    std::vector<std::unique_ptr<TestCaller>> m_callers;
    std::uint16_t m_ports[4]{};
    std::uint64_t m_lastJob = 0;
    std::uint64_t m_beats = 0;
    bool m_knowsMemory = false;
};
