#pragma once

#include "worker.h"

#include <utility>
#include <vector>

namespace Jobs
{

/// Reserves resources of workers during a sequence of placement decisions. The destructor releases them.
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
