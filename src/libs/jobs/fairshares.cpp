#include "fairshares.h"

#include "placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Jobs
{

namespace
{

// What a workspace asks of a service.
struct Claim {
    double weight = 0;
    Resources running;
    Resources waiting; ///< of ready tasks that are of use and not in excess
    Resources granted; ///< running, and waiting ones that go first
    Resources asked; ///< running and waiting, as far as the limit of the workspace allows
    bool isHeavy = false; ///< asks for much more by its weight than the others
    std::uint32_t deferred = 0; ///< occurrences
};

using Claims = std::map<std::string_view, Claim>; // by workspace

struct Service {
    Resources capacity; ///< without what long-running tasks and jobs without a weight use
    Claims claims;
    bool isScarce = false;
    double level = 0; ///< share of the capacity per weight
};

struct Item {
    Service *service = nullptr;
    Claim *claim = nullptr; ///< null if its workspace has no share
    Resources waiting;
    bool mayWait = false;
    bool isLast = false; ///< goes after what is deferred, like all that follow
};

// The largest part of the capacity that is needed of any resource.
double dominantShare(const Resources &amount, const Resources &capacity)
{
    const auto part = [](std::int64_t of, std::int64_t all) {
        return of <= 0 ? 0.0 : double(of) / double(std::max<std::int64_t>(all, 1));
    };
    return std::max({part(amount.milliCores, capacity.milliCores),
                     part(amount.memory, capacity.memory),
                     part(amount.accelerators, capacity.accelerators)});
}

// Of a job that are due and not open.
constexpr std::uint32_t MaxCountedOccurrences = 100'000;

// Results that can't arrive in time to be of use don't count as asked for.
bool isUseful(const UnfinishedOccurrence &it, WallTime now)
{
    constexpr double EstimateMargin = 0.2;
    const Milliseconds left = it.job->remainingCriticalPath(*it.occurrence);
    const double slack = double((it.job->lateLimit(it.number) - now - left).count());
    return slack >= EstimateMargin * double(left.count());
}

Item claim(const UnfinishedOccurrence &it,
           std::map<std::string_view, Service> &services,
           const FairShares::Weights &weights,
           WallTime now)
{
    const auto service = services.find(it.job->spec.queue.service);
    if (service == services.end()) {
        return {};
    }
    Item item;
    item.service = &service->second;
    Resources running;
    for (std::uint32_t n = 0; n < it.occurrence->stages.size(); ++n) {
        const StageProgress &progress = it.occurrence->stages[n];
        if (progress.isDone()) {
            continue;
        }
        const Resources size = reservedResources(it.job->spec.stages[n]);
        const bool isReady = it.job->isReady(*it.occurrence, n);
        for (const Task &task : progress.tasks) {
            if (task.run != RunState::None) {
                running += size;
            } else if (isReady && !task.isDone) {
                item.waiting += size;
            }
        }
        if (isReady) {
            item.waiting += multiple(size, progress.count - progress.tasks.size());
        }
    }
    const auto weight = weights.find(it.job->spec.workspace);
    if (it.job->spec.isLongRunning() || weight == weights.end()) {
        item.service->capacity -= running;
        return item;
    }
    const bool isWanted = !it.job->spec.isExcess && isUseful(it, now);
    item.claim = &item.service->claims[weight->first];
    item.claim->weight = weight->second;
    item.claim->running += running;
    item.claim->granted += running;
    const bool isCounted = isWanted || it.job->hasStarted;
    item.claim->waiting += isCounted ? item.waiting : Resources{};
    if (isCounted && it.number + 1 == it.job->nextOccurrence) {
        const std::uint32_t unopened = std::min(it.job->unopenedOccurrences(now), MaxCountedOccurrences);
        item.claim->waiting += multiple(it.job->firstStagesSize(), unopened);
    }
    item.mayWait = isWanted && !it.job->hasStarted;
    item.isLast = !isWanted && (it.job->spec.isExcess || !it.job->hasStarted);
    return item;
}

void addOtherUse(const FairShares::OtherUse &use,
                 std::map<std::string_view, Service> &services,
                 const FairShares::Weights &weights)
{
    const auto service = services.find(use.service);
    const auto weight = weights.find(use.workspace);
    if (service == services.end()) {
        return;
    }
    if (weight == weights.end()) {
        service->second.capacity -= use.reserved;
        return;
    }
    Claim &claim = service->second.claims[weight->first];
    claim.weight = weight->second;
    claim.running += use.reserved;
    claim.granted += use.reserved;
}

// A workspace can't use more than its limit, whatever waits.
Resources askedWithin(const Claim &claim, const std::optional<QuotaLimit> &limit)
{
    Resources asked = claim.running;
    asked += claim.waiting;
    if (!limit) {
        return asked;
    }
    const Resources most = larger(limit->amount, claim.running);
    return {std::min(asked.milliCores, most.milliCores),
            std::min(asked.memory, most.memory),
            std::min(asked.accelerators, most.accelerators)};
}

// Whether the resources suffice if each workspace gets at most `level` times its weight.
bool fits(const Claims &claims, const Resources &capacity, double level = HUGE_VAL)
{
    double cores = 0;
    double memory = 0;
    double accelerators = 0;
    for (const auto &[workspace, claim] : claims) {
        const Resources &asked = claim.asked;
        const double share = dominantShare(asked, capacity);
        const double part = share > 0 ? std::min(1.0, level * claim.weight / share) : 0;
        cores += part * double(asked.milliCores);
        memory += part * double(asked.memory);
        accelerators += part * double(asked.accelerators);
    }
    return cores <= double(capacity.milliCores) && memory <= double(capacity.memory)
        && accelerators <= double(capacity.accelerators);
}

// Dominant resource fairness with weights: the highest share per weight that all can have at the same time.
double shareLevel(const Claims &claims, const Resources &capacity)
{
    constexpr int Steps = 30;
    double low = 0;
    double high = 0;
    for (const auto &[workspace, claim] : claims) {
        high = std::max(high, dominantShare(claim.asked, capacity) / claim.weight);
    }
    for (int n = 0; n < Steps; ++n) {
        const double middle = (low + high) / 2;
        (fits(claims, capacity, middle) ? low : high) = middle;
    }
    return low;
}

// Where all ask for more than there is, urgency alone serves most jobs in time, and a share that is exceeded
// by chance must not change that.
void markHeavy(Claims &claims, const Resources &capacity)
{
    constexpr double HeavyFactor = 2; // of what a typical workspace asks for by its weight
    std::vector<double> asked;
    for (const auto &[workspace, claim] : claims) {
        asked.push_back(dominantShare(claim.asked, capacity) / claim.weight);
    }
    const auto middle = asked.begin() + static_cast<std::ptrdiff_t>((asked.size() - 1) / 2);
    std::nth_element(asked.begin(), middle, asked.end());
    for (auto &[workspace, claim] : claims) {
        claim.isHeavy = dominantShare(claim.asked, capacity) / claim.weight > HeavyFactor * *middle;
    }
}

void addShares(std::string_view name, const Service &service, std::vector<FairShares::Share> &shares)
{
    for (const auto &[workspace, claim] : service.claims) {
        FairShares::Share &share = shares.emplace_back();
        share.service = name;
        share.workspace = workspace;
        share.used = dominantShare(claim.running, service.capacity);
        share.asked = dominantShare(claim.asked, service.capacity);
        share.entitled = service.level * claim.weight;
        share.deferred = claim.deferred;
    }
}

} // namespace

void FairShares::setWeights(Weights weights)
{
    std::erase_if(weights, [](const auto &it) { return !(it.second > 0); });
    m_weights = std::move(weights);
}

const FairShares::Weights &FairShares::weights() const
{
    return m_weights;
}

const std::vector<FairShares::Share> &FairShares::shares() const
{
    return m_shares;
}

std::size_t FairShares::defer(std::vector<UnfinishedOccurrence> &ready,
                              const Capacities &capacities,
                              const QuotaUsage &quotas,
                              WallTime now,
                              std::span<const OtherUse> others)
{
    m_shares.clear();
    if (m_weights.empty()) {
        return ready.size();
    }
    std::map<std::string_view, Service> services;
    for (const auto &[name, capacity] : capacities) {
        services[name].capacity = capacity;
    }
    std::vector<Item> items;
    items.reserve(ready.size());
    for (const UnfinishedOccurrence &it : ready) {
        items.push_back(claim(it, services, m_weights, now));
    }
    for (const OtherUse &it : others) {
        addOtherUse(it, services, m_weights);
    }
    bool isScarce = false;
    for (auto &[name, service] : services) {
        for (auto &[workspace, claim] : service.claims) {
            claim.asked = askedWithin(claim, quotas.limitOf(workspace));
        }
        service.isScarce = service.claims.size() > 1 && !fits(service.claims, service.capacity);
        if (service.isScarce) {
            service.level = shareLevel(service.claims, service.capacity);
            markHeavy(service.claims, service.capacity);
        }
        isScarce = isScarce || service.isScarce;
    }
    if (!isScarce) {
        return ready.size();
    }
    std::vector<UnfinishedOccurrence> first;
    std::vector<UnfinishedOccurrence> deferred;
    first.reserve(ready.size());
    std::size_t n = 0;
    for (; n < items.size() && !items[n].isLast; ++n) {
        Item &item = items[n];
        if (!item.claim) {
            first.push_back(ready[n]);
            continue;
        }
        const bool isBeyond = item.claim->isHeavy
            && dominantShare(item.claim->granted, item.service->capacity)
                >= item.service->level * item.claim->weight;
        if (item.mayWait && isBeyond) {
            ++item.claim->deferred;
            deferred.push_back(ready[n]);
        } else {
            item.claim->granted += item.waiting;
            first.push_back(ready[n]);
        }
    }
    const std::size_t undeferred = first.size();
    first.insert(first.end(), deferred.begin(), deferred.end());
    std::copy(first.begin(), first.end(), ready.begin());
    for (const auto &[name, service] : services) {
        if (service.isScarce) {
            addShares(name, service, m_shares);
        }
    }
    return undeferred;
}

} // namespace Jobs
