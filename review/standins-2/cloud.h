#pragma once

#include "worker.h"

#include <functional>

namespace Review
{

/// Stands in for the platform's interface for machines, and for the machines with their workers.
class Cloud
{
public:
    struct Machine {
        std::string id;
        std::string pool;
        std::string rack;
        std::string state = "up";
        std::uint64_t token = 0; ///< the highest fencing token seen
        bool isMaintained = false; ///< its upkeep in the wave has begun
        std::unique_ptr<Worker> worker{};
    };
    /// How a call for the upkeep of a machine is treated.
    struct Treatment {
        bool isAnswered = true;
        Base::Duration delay{}; ///< until it is carried out
    };
    using UpkeepCalled = std::function<Treatment(const std::string &machine, const std::string &holder)>;

    Cloud(boost::asio::io_context &context, Base::TimerService &timers, Soak::Store &store, World &world);

    std::uint16_t port() const;
    void addMachine(const std::string &id, const std::string &pool, const std::string &rack);
    /// Sets what is called when an upkeep is ordered, and how many machines of the wave may be down.
    void setUpkeep(UpkeepCalled called, std::size_t mostDown);
    /// The workers of all machines of the rack crash, and the next ones begin after the time.
    void crashRack(const std::string &rack, Base::Duration downTime);
    /// Whether the machine has begun its upkeep.
    bool isMaintained(const std::string &machine) const;

private:
    void handle(const Http::Request &request, const Http::Responder &respond);
    std::string list() const;
    Machine *find(const std::string &id) const;
    void move(const Http::Request &request, const Http::Responder &respond);
    void upkeep(const Http::Request &request, const Http::Responder &respond);
    unsigned beginUpkeep(Machine &machine, std::uint64_t token, const std::string &holder);
    void endWorker(Machine &machine);
    void startWorker(Machine &machine);

    boost::asio::io_context &m_context;
    Base::TimerService &m_timers;
    Soak::Store &m_store;
    World &m_world;
    std::vector<std::unique_ptr<Machine>> m_machines;
    std::size_t m_lastWorker = 0;
    std::size_t m_mostDown = 1;
    UpkeepCalled m_onUpkeep;
    Http::Server m_server;
};

} // namespace Review
