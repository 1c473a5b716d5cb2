#pragma once

#include "worker.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Soak
{

/// Stands in for the service that lists, moves and maintains machines, and runs their workers.
class Fleet
{
public:
    Fleet(const WorkerSurroundings &surroundings, const Shape &shape);

    std::uint16_t port() const;
    std::size_t moves() const;

    /// Ends the workers of this share of the machines that are up; each starts again under its ID later.
    void crash(double share, Base::Duration pause);
    /// Shrinks the capacity of this share of the workers to `factor`, and restores it later.
    void shrink(double share, double factor, Base::Duration time);
    /// Lets this share of the workers fail all that they start.
    void fail(double share, Base::Duration time);
    /// Ends this share of the workers, all of one zone or rack, without closing their connections. Each
    /// starts again at once under its ID and at its address, and is cut off soon after for some seconds.
    void recut(double share);
    /// Lets this share of the calls to workers get no answer and be carried out seconds later.
    void setLateShare(double share);
    /// Lets this share of the workers answer after `delay`.
    void slowDown(double share, Base::Duration delay, Base::Duration time);

private:
    struct Machine {
        std::string id;
        std::string zone;
        std::string rack;
        std::string pool;
        std::string state = "up";
        std::uint64_t token = 0; ///< fencing token of its orders
        std::unique_ptr<Worker> worker;
        std::string returning; ///< ID of a worker that starts again at once
        bool isRecut = false; ///< until the worker can be reached again
    };

    void handle(const Http::Request &request, const Http::Responder &respond);
    Http::Response list(const std::string &target) const;
    Http::Response move(const Http::Request &request);
    void startWorker(Machine &machine,
                     std::string id,
                     std::shared_ptr<Door> door = nullptr,
                     Base::Duration registersAfter = {});
    void endWorker(Machine &machine);
    void expireEntry(const std::string &worker);
    void setCutOff(Machine &machine, const std::string &worker, bool isCutOff);
    void restart(std::string worker, Base::Duration pause);
    std::vector<Machine *> draw(double share);
    const Service &serviceOf(const std::string &name) const;

    WorkerSurroundings m_surroundings;
    const Shape &m_shape;
    std::vector<Machine> m_machines;
    std::uint64_t m_lastWorker = 0;
    std::size_t m_moves = 0;
    Http::Server m_server;
};

} // namespace Soak
