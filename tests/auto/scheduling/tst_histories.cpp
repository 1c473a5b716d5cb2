#include "naivescheduler.h"

#include <scheduling/requestscheduler.h>
#include <scheduling/schedulerlimits.h>

#include <map>
#include <random>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using Scheduling::Arrival;
using Scheduling::AttemptOutcome;
using Scheduling::AttemptResult;
using Scheduling::Decision;
using Scheduling::Deliver;
using Scheduling::Dispatch;
using Scheduling::Refuse;
using Scheduling::RequestId;
using Scheduling::RequestScheduler;
using Scheduling::SchedulerLimits;
using Scheduling::ServiceId;
using Scheduling::ServiceSpec;
using Scheduling::TargetId;
using Scheduling::TargetSpec;

namespace
{

constexpr std::uint64_t Histories = 200;
constexpr int StepsPerHistory = 3000;
constexpr std::uint32_t MaxTargets = 6;

/// The state of one request as observed by the owner of the scheduler.
struct ObservedRequest {
    Arrival arrival;
    std::uint32_t attempts = 0;
    std::uint32_t executions = 0;
    std::uint32_t outcomes = 0;
    std::optional<TargetId> inFlightOn;
    std::set<TargetId> triedTargets;
};

/// Generates random arrivals, attempt outcomes, cancellations, fleets and allowances, and collects violated
/// invariants.
template<typename Scheduler>
class History
{
public:
    History(Scheduler &scheduler, std::uint64_t seed)
        : m_scheduler(scheduler)
        , m_random(seed)
    {
    }

    std::set<std::string> run()
    {
        changeFleet();
        for (int n = 0; n < StepsPerHistory; ++n) {
            m_now += Base::Duration{draw(3000)};
            step();
            advanceTo(m_now);
            checkSlots();
        }
        finish();
        return m_violations;
    }

private:
    std::uint64_t draw(std::uint64_t bound)
    {
        return m_random() % bound;
    }

    void step()
    {
        const auto kind = draw(100);
        if (kind < 48) {
            arrive();
        } else if (kind < 93) {
            endOneAttempt();
        } else if (kind < 97) {
            cancelRequest();
        } else if (kind < 99) {
            changeAllowance();
        } else {
            changeFleet();
        }
    }

    void arrive()
    {
        const std::uint64_t id = m_requests.size() + 1;
        ObservedRequest &request = m_requests[id];
        request.arrival = {RequestId{id},
                           ServiceId{static_cast<std::uint32_t>(1 + draw(4))},
                           static_cast<Document::Priority>(draw(3)),
                           m_now + Base::Duration{draw(200'000)},
                           draw(2) == 0};
        m_scheduler.arrive(request.arrival, m_now, m_out);
        observe();
    }

    void endOneAttempt()
    {
        if (m_inFlight.empty()) {
            return;
        }
        auto it = m_inFlight.begin();
        std::advance(it, draw(m_inFlight.size()));
        endAttempt(*it, static_cast<AttemptOutcome>(draw(5)));
    }

    void endAttempt(std::uint64_t id, AttemptOutcome outcome)
    {
        ObservedRequest &request = m_requests[id];
        const bool isUnknown = verdictOf(outcome) == Base::Verdict::MayHaveRun;
        const bool hasRun = outcome == AttemptOutcome::Answered || (isUnknown && draw(2) == 0);
        request.executions += hasRun ? 1 : 0;
        request.inFlightOn.reset();
        m_inFlight.erase(id);
        const AttemptResult result{outcome, Base::Duration{draw(50'000)}, draw(3) == 0, draw(10) > 0};
        m_scheduler.attemptEnded(RequestId{id}, result, m_now, m_out);
        observe();
    }

    void cancelRequest()
    {
        if (!m_requests.empty()) {
            m_scheduler.cancel(RequestId{1 + draw(m_requests.size())}, m_now, m_out);
            observe();
        }
    }

    void changeAllowance()
    {
        const TargetId target{static_cast<std::uint32_t>(1 + draw(MaxTargets))};
        const auto slots = static_cast<std::uint32_t>(draw(5));
        if (m_fleet.contains(target)) {
            m_allowance[target] = slots;
        }
        m_scheduler.setAllowance(target, slots);
    }

    void changeFleet()
    {
        std::vector<TargetSpec> targets;
        for (std::uint32_t n = 1; n <= MaxTargets; ++n) {
            if (draw(4) > 0) {
                const Base::PoolName pool{draw(8) == 0 ? "spare" : "proofs"};
                targets.push_back(
                    {TargetId{n}, {"instance" + std::to_string(n)}, pool, {}, 3, 64, draw(6) == 0});
            }
        }
        std::vector<ServiceSpec> services;
        for (std::uint32_t n = 1; n <= 3; ++n) {
            if (draw(8) > 0) {
                services.push_back({ServiceId{n}, {draw(8) == 0 ? "spare" : "proofs"}, 500});
            }
        }
        m_fleet.clear();
        for (const TargetSpec &it : targets) {
            m_fleet[it.id] = it;
        }
        std::erase_if(m_allowance, [this](const auto &it) { return !m_fleet.contains(it.first); });
        m_scheduler.setFleet(services, targets);
    }

    void advanceTo(Base::Instant now)
    {
        m_scheduler.advance(now, m_out);
        observe();
    }

    void observe()
    {
        const auto decisions = std::exchange(m_out, {});
        for (const Decision &decision : decisions) {
            if (const auto *dispatch = std::get_if<Dispatch>(&decision)) {
                observeDispatch(*dispatch);
            } else if (const auto *refuse = std::get_if<Refuse>(&decision)) {
                ObservedRequest &request = m_requests[refuse->request.value];
                const bool isNotRun = refuse->verdict == Base::Verdict::NotRun;
                require(!isNotRun || request.executions == 0, "verdict NotRun, but the request was executed");
                require(!isNotRun || !request.inFlightOn, "verdict NotRun while an attempt is in flight");
                require(++request.outcomes == 1, "each request has one final outcome");
            } else if (const auto *deliver = std::get_if<Deliver>(&decision)) {
                require(++m_requests[deliver->request.value].outcomes == 1,
                        "each request has one final outcome");
            }
        }
    }

    void observeDispatch(const Dispatch &dispatch)
    {
        ObservedRequest &request = m_requests[dispatch.request.value];
        const auto target = m_fleet.find(dispatch.target);
        require(target != m_fleet.end() && !target->second.isDraining,
                "no dispatch to a draining or removed target");
        require(request.outcomes == 0 && !request.inFlightOn, "one attempt at a time");
        require(dispatch.attempt == ++request.attempts, "attempts are numbered consecutively");
        require(request.triedTargets.insert(dispatch.target).second, "a retry goes to another target");
        const bool isSafe = request.arrival.isIdempotent || request.executions == 0;
        require(isSafe, "a non-idempotent request is executed at most once");
        require(dispatch.attemptDeadline <= request.arrival.deadline, "attempts end by the deadline");
        request.inFlightOn = dispatch.target;
        m_inFlight.insert(dispatch.request.value);
        const auto allowed = m_allowance.contains(dispatch.target) ? m_allowance[dispatch.target] : 3;
        require(inFlightOn(dispatch.target) <= std::min(allowed, 3U),
                "attempts in flight stay within the allowance");
    }

    std::size_t inFlightOn(TargetId target)
    {
        return static_cast<std::size_t>(
            std::count_if(m_inFlight.begin(), m_inFlight.end(), [&](std::uint64_t id) {
                return m_requests[id].inFlightOn == target;
            }));
    }

    void checkSlots()
    {
        for (const auto &[target, spec] : m_fleet) {
            require(inFlightOn(target) <= spec.slots, "attempts in flight stay within the target's slots");
        }
    }

    void finish()
    {
        m_now += 10s;
        advanceTo(m_now);
        while (!m_inFlight.empty()) {
            endAttempt(*m_inFlight.begin(), AttemptOutcome::TimedOut);
        }
        advanceTo(m_now + 10s);
        for (const auto &[id, request] : m_requests) {
            require(request.outcomes == 1, "each request has one final outcome");
        }
    }

    void require(bool isTrue, const char *rule)
    {
        if (!isTrue) {
            m_violations.insert(rule);
        }
    }

    Scheduler &m_scheduler;
    std::mt19937_64 m_random;
    Base::Instant m_now;
    std::map<std::uint64_t, ObservedRequest> m_requests;
    std::set<std::uint64_t> m_inFlight;
    std::map<TargetId, TargetSpec> m_fleet;
    std::map<TargetId, std::uint32_t> m_allowance;
    std::vector<Decision> m_out;
    std::set<std::string> m_violations;
};

} // namespace

TEST_GROUP(Histories){};

TEST(Histories, RandomHistoriesViolateNoInvariant)
{
    for (std::uint64_t seed = 1; seed <= Histories; ++seed) {
        SchedulerLimits limits;
        limits.maxQueueLength = {8, 8, 8};
        RequestScheduler scheduler(limits, seed);
        const auto violations = History<RequestScheduler>(scheduler, seed).run();
        const std::string rule = violations.empty() ? "" : *violations.begin();
        CHECK_TEXT(violations.empty(), (rule + ", seed " + std::to_string(seed)).c_str());
        LONGS_EQUAL(0, scheduler.statistics().requests);
    }
}

TEST(Histories, NaiveSchedulerViolatesInvariants)
{
    NaiveScheduler scheduler;
    const auto violations = History<NaiveScheduler>(scheduler, 1).run();
    CHECK(violations.contains("a non-idempotent request is executed at most once"));
    CHECK(violations.contains("verdict NotRun, but the request was executed"));
    CHECK(violations.contains("attempts in flight stay within the allowance"));
    CHECK(violations.contains("no dispatch to a draining or removed target"));
    CHECK(violations.contains("a retry goes to another target"));
}
