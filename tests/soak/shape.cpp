#include "shape.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>

namespace Soak
{

namespace
{

namespace json = boost::json;

// Work of all workspaces' jobs in the mean, core-seconds per second, of which quotas are a multiple.
constexpr double QuotaFactor = 10;

constexpr std::size_t WorkspaceCount = 20;

Queue previews(const std::string &name, const std::string &service, double perSecond, std::uint32_t turn)
{
    Queue queue;
    queue.name = name;
    queue.service = service;
    queue.perSecond = perSecond;
    queue.turn = turn;
    queue.stages = {1.6, 0.4, 4};
    queue.width = {8, 0.6, 32};
    queue.milliCores = {3100, 0.45, 9300};
    queue.memory = {8800, 0.6, 27'000};
    queue.work = {640, 0.5, 1600};
    return queue;
}

Queue proofs(const std::string &name, const std::string &service, double perSecond, std::uint32_t turn)
{
    Queue queue = previews(name, service, perSecond, turn);
    queue.priority = 1;
    queue.maxAttempts = 2;
    queue.stages = {2, 0.4, 5};
    queue.milliCores = {6700, 0.45, 20'000};
    queue.memory = {25'000, 0.6, 74'000};
    queue.work = {1700, 0.5, 4200};
    queue.estimateError = 0.9;
    queue.checkpointShare = 0.8;
    queue.cancelShare = 0.05;
    return queue;
}

/// As much work in more and smaller tasks, which wait for a worker without a task of their stage.
Queue narrowProofs(const std::string &name, const std::string &service, double perSecond, std::uint32_t turn)
{
    Queue queue = proofs(name, service, perSecond, turn);
    queue.tasksPerWorker = 1;
    queue.width = {24, 0.6, 96};
    queue.milliCores = {2233, 0.45, 6667};
    queue.memory = {8333, 0.6, 24'667};
    return queue;
}

Queue caches(const std::string &name, const std::string &service)
{
    Queue queue;
    queue.name = name;
    queue.service = service;
    queue.isLongRunning = true;
    queue.tasksPerWorker = 1;
    queue.slackFactor = 2.2;
    queue.targetLatency = Milliseconds(2500);
    queue.stages = {1, 0, 1};
    queue.width = {24, 0.25, 38};
    queue.milliCores = {4500, 0.2, 6800};
    queue.memory = {17'000, 0.6, 51'000};
    queue.work = {700, 0.3, 1400};
    return queue;
}

double meanWork(const Queue &queue)
{
    return queue.perSecond * queue.stages.mean * queue.width.mean * queue.work.mean / 1000;
}

} // namespace

double Size::draw(std::mt19937 &random) const
{
    if (spread <= 0) {
        return mean;
    }
    const double variance = std::log(1 + spread * spread);
    std::lognormal_distribution<> distribution(std::log(mean) - variance / 2, std::sqrt(variance));
    return std::min(most, distribution(random));
}

Shape makeShape(double scale, std::size_t members, double quotaScale)
{
    Shape shape;
    shape.members = members;
    shape.strongMembers = std::min<std::size_t>(shape.strongMembers, members);
    const auto machines = [scale](double count) {
        return std::max<std::size_t>(3, static_cast<std::size_t>(std::lround(count * scale)));
    };
    shape.services = {{"slate-designer", machines(62)},
                      {"slate-proofer", machines(70)},
                      {"brass-designer", machines(77)},
                      {"brass-proofer", machines(85)},
                      {"shopfront", machines(56), true}};
    shape.queues = {previews("preview-slate", "slate-designer", 35.1 * scale, 0),
                    proofs("proof-slate", "slate-proofer", 5.49 * scale, 1),
                    previews("preview-brass", "brass-designer", 43.8 * scale, 2),
                    narrowProofs("proof-brass", "brass-proofer", 6.71 * scale, 3),
                    caches("font-cache-slate", "slate-designer"),
                    caches("catalogue-slate", "slate-proofer"),
                    caches("font-cache-brass", "brass-designer"),
                    caches("catalogue-brass", "brass-proofer")};
    double cores = 0;
    double memory = 0;
    double jobs = 0;
    for (Queue &it : shape.queues) {
        it.prefix = "/" + it.name + "/";
        cores += meanWork(it) * it.milliCores.mean;
        memory += meanWork(it) * it.memory.mean;
        jobs += it.perSecond;
        if (it.isLongRunning) {
            it.width.mean = std::max(3.0, it.width.mean * std::sqrt(scale));
        }
    }
    double sum = 0;
    for (std::size_t n = 0; n < WorkspaceCount; ++n) {
        sum += 1 / std::pow(double(n + 1), 0.8);
    }
    for (std::size_t n = 0; n < WorkspaceCount; ++n) {
        const double share = 1 / std::pow(double(n + 1), 0.8) / sum;
        Workspace workspace;
        workspace.name = "workspace-" + std::to_string(n);
        workspace.key = "key-of-" + workspace.name;
        workspace.weight = std::max(1.0, jobs * share * QuotaFactor);
        workspace.quota.milliCores = std::llround(cores * share * QuotaFactor * quotaScale);
        workspace.quota.memory = std::llround(memory * share * QuotaFactor * quotaScale);
        shape.workspaces.push_back(std::move(workspace));
    }
    return shape;
}

std::string configuration(const Shape &shape, std::uint64_t version)
{
    json::array routes;
    for (const Queue &it : shape.queues) {
        routes.push_back(json::object{{"Name", it.name},
                                      {"Host", "soak.example"},
                                      {"PathPrefix", it.prefix},
                                      {"Kind", "non_idempotent"},
                                      {"TimeoutMs", 3000},
                                      {"TargetLatencyMs", it.targetLatency.count()},
                                      {"Priority", it.priority},
                                      {"Service", it.service},
                                      {"MaxAttempts", it.maxAttempts},
                                      {"SlackFactor", it.slackFactor},
                                      {"Public", it.isLongRunning}});
    }
    json::array services;
    for (const Service &it : shape.services) {
        services.push_back(json::object{
            {"Name", it.name}, {"EnforcesCapacity", it.enforcesCapacity}, {"Standby", it.isStandby}});
    }
    json::array tenants;
    for (const Workspace &it : shape.workspaces) {
        tenants.push_back(json::object{
            {"Name", it.name},
            {"ApiKeys", json::array{it.key}},
            {"Weight", it.weight},
            {"Cap", json::object{{"Cpu", it.quota.milliCores}, {"MemMb", it.quota.memory}, {"Gpu", 0}}}});
    }
    return json::serialize(json::object{{"Version", version},
                                        {"Routes", std::move(routes)},
                                        {"Services", std::move(services)},
                                        {"Limits", json::object{}},
                                        {"Tenants", std::move(tenants)}});
}

} // namespace Soak
