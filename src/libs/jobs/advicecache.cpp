#include "advicecache.h"

#include <algorithm>

namespace Jobs
{

namespace
{

// A ticket must stay valid until the assignment has been stored and the start has arrived.
constexpr Milliseconds MinTicketValidity{250};

// Enough workers for a stage, while the service's response time grows with each worker in the query.
constexpr std::size_t UsualWorkersPerQuery = 12;

// Limit of the service.
constexpr std::size_t MaxWorkersPerQuery = 100;

// Limit per shard. The service rejects calls while 32 are waiting.
constexpr std::size_t MaxPendingQueries = 4;

// Delay after a query that was rejected or lost.
constexpr Milliseconds RetryDelay{200};

} // namespace

std::optional<std::string>
AdviceCache::ticket(const StageKey &stage, const std::string &worker, Base::Instant now) const
{
    const auto it = m_stages.find(stage);
    if (it == m_stages.end()) {
        return std::nullopt;
    }
    const auto found = it->second.tickets.find(worker);
    if (found == it->second.tickets.end() || found->second.validUntil < now + MinTicketValidity) {
        return std::nullopt;
    }
    return found->second.text;
}

std::optional<AdviceQuery> AdviceCache::question(const StageKey &stage,
                                                 const AdvicePolicy &policy,
                                                 std::span<const std::string> workers,
                                                 std::size_t neededTogether,
                                                 Base::Instant now)
{
    StageAdvice &advice = m_stages[stage];
    if (advice.isQueryPending || m_pendingQueries >= MaxPendingQueries || now < advice.nextQueryAt) {
        return std::nullopt;
    }
    const std::size_t most = std::clamp(neededTogether, UsualWorkersPerQuery, MaxWorkersPerQuery);
    AdviceQuery ask;
    std::tie(ask.job, ask.occurrence, ask.stage) = stage;
    for (const std::string &it : workers) {
        if (ask.workers.size() < most && advice.denied.count(it) == 0 && !ticket(stage, it, now)) {
            ask.workers.push_back(it);
        }
    }
    if (ask.workers.empty()) {
        return std::nullopt;
    }
    ask.expected = policy.timePerCall + policy.timePerWorker * static_cast<std::int64_t>(ask.workers.size());
    advice.isQueryPending = true;
    ++m_pendingQueries;
    return ask;
}

void AdviceCache::answered(const AdviceQuery &question,
                           const std::optional<AdviceAnswer> &answer,
                           Base::Instant now)
{
    --m_pendingQueries;
    const auto it = m_stages.find({question.job, question.occurrence, question.stage});
    if (it == m_stages.end()) {
        return;
    }
    StageAdvice &advice = it->second;
    advice.isQueryPending = false;
    if (!answer) {
        advice.nextQueryAt = now + RetryDelay;
        return;
    }
    std::set<std::string> denied(question.workers.begin(), question.workers.end());
    for (const AdviceTicket &allowed : answer->allowed) {
        denied.erase(allowed.worker);
        advice.tickets[allowed.worker] = {allowed.ticket, now + answer->validity};
    }
    advice.denied.merge(denied);
}

void AdviceCache::rejected(const StageKey &stage, const std::string &worker)
{
    const auto it = m_stages.find(stage);
    if (it != m_stages.end()) {
        it->second.tickets.erase(worker);
    }
}

void AdviceCache::forget(std::string_view job)
{
    for (auto it = m_stages.lower_bound({std::string(job), 0, 0});
         it != m_stages.end() && std::get<0>(it->first) == job;) {
        it = m_stages.erase(it);
    }
}

} // namespace Jobs
