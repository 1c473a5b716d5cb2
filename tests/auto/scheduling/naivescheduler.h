#pragma once

#include <scheduling/attempt.h>
#include <scheduling/decision.h>
#include <scheduling/fleetspecs.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

/// Baseline for the comparison with RequestScheduler: first come first served, round robin over all targets,
/// no limits, three retries of every failed request. Optionally, a target is ejected permanently after five
/// consecutive failures.
class NaiveScheduler
{
public:
    explicit NaiveScheduler(bool isEjecting = false)
        : m_isEjecting(isEjecting)
    {
    }

    void setFleet(std::span<const Scheduling::ServiceSpec> services,
                  std::span<const Scheduling::TargetSpec> targets)
    {
        m_services.assign(services.begin(), services.end());
        m_targets.assign(targets.begin(), targets.end());
    }

    void setAllowance(Scheduling::TargetId /*target*/, std::uint32_t /*slots*/)
    {
    }

    void arrive(const Scheduling::Arrival &arrival, Base::Instant now, std::vector<Scheduling::Decision> &out)
    {
        Request &request = m_requests[arrival.id.value];
        request.arrival = arrival;
        dispatch(request, now, out);
    }

    void attemptEnded(Scheduling::RequestId id,
                      const Scheduling::AttemptResult &result,
                      Base::Instant now,
                      std::vector<Scheduling::Decision> &out)
    {
        const auto it = m_requests.find(id.value);
        if (it == m_requests.end()) {
            return;
        }
        Request &request = it->second;
        const bool isAnswered = result.outcome == Scheduling::AttemptOutcome::Answered;
        std::uint32_t &failures = m_failures[request.target.value];
        failures = isAnswered && !result.isServerError ? 0 : failures + 1;
        if (isAnswered && !result.isServerError) {
            out.emplace_back(Scheduling::Deliver{id});
            m_requests.erase(it);
        } else if (request.attempts <= Retries) {
            dispatch(request, now, out);
        } else {
            const auto reason = Scheduling::RefusalReason::AttemptFailed;
            out.emplace_back(Scheduling::Refuse{id, reason, verdictOf(result.outcome), {}});
            m_requests.erase(it);
        }
    }

    void cancel(Scheduling::RequestId id, Base::Instant /*now*/, std::vector<Scheduling::Decision> &out)
    {
        if (m_requests.erase(id.value) > 0) {
            const auto reason = Scheduling::RefusalReason::Cancelled;
            out.emplace_back(Scheduling::Refuse{id, reason, Base::Verdict::NotRun, {}});
        }
    }

    void advance(Base::Instant /*now*/, std::vector<Scheduling::Decision> & /*out*/)
    {
    }

    std::optional<Base::Instant> nextDue() const
    {
        return std::nullopt;
    }

    std::uint32_t ejectedTargets() const
    {
        return static_cast<std::uint32_t>(std::count_if(
            m_targets.begin(), m_targets.end(), [this](const auto &it) { return isEjected(it.id); }));
    }

private:
    static constexpr std::uint32_t Retries = 3;
    static constexpr std::uint32_t FailuresToEject = 5;
    static constexpr std::chrono::milliseconds Timeout{500};

    struct Request {
        Scheduling::Arrival arrival;
        Scheduling::TargetId target;
        std::uint32_t attempts = 0;
    };

    bool isEjected(Scheduling::TargetId target) const
    {
        const auto it = m_failures.find(target.value);
        return m_isEjecting && it != m_failures.end() && it->second >= FailuresToEject;
    }

    void dispatch(Request &request, Base::Instant now, std::vector<Scheduling::Decision> &out)
    {
        const auto service = std::find_if(m_services.begin(), m_services.end(), [&](const auto &it) {
            return it.id == request.arrival.service;
        });
        for (std::size_t n = 0; n < m_targets.size(); ++n) {
            m_cursor = (m_cursor + 1) % m_targets.size();
            const bool isCarrying = service == m_services.end() || m_targets[m_cursor].pool == service->pool;
            if (isCarrying && !isEjected(m_targets[m_cursor].id)) {
                break;
            }
        }
        request.target = m_targets[m_cursor].id;
        ++request.attempts;
        out.emplace_back(
            Scheduling::Dispatch{request.arrival.id, request.target, request.attempts, now + Timeout});
    }

    bool m_isEjecting;
    std::vector<Scheduling::ServiceSpec> m_services;
    std::vector<Scheduling::TargetSpec> m_targets;
    std::size_t m_cursor = 0;
    std::unordered_map<std::uint64_t, Request> m_requests;
    std::unordered_map<std::uint32_t, std::uint32_t> m_failures;
};
