#pragma once

#include "worker.h"

#include <utility>
#include <vector>

namespace Jobs
{

/// Room of workers that is spoken for while decisions are made one after the other; given back at the end.
class Reservations
{
public:
    Reservations() = default;
    Reservations(const Reservations &) = delete;
    Reservations &operator=(const Reservations &) = delete;
    ~Reservations()
    {
        for (const auto &[worker, size] : m_taken) {
            worker->used -= size;
        }
    }

    void reserve(Worker &worker, const Resources &size)
    {
        worker.used += size;
        m_taken.emplace_back(&worker, size);
    }

private:
    std::vector<std::pair<Worker *, Resources>> m_taken;
};

} // namespace Jobs
