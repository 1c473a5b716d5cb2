#include "jobsettings.h"

using namespace std::chrono_literals;

namespace Settings
{

namespace
{

using JobDeclarations = Declarations<JobSettings>;

void declareAddresses(JobDeclarations &settings)
{
    settings.section(&JobSettings::instance, "instance", "Which instance this is.")
        .add(&JobInstanceSettings::name, "name", Required, NotEmpty{}, "Name of the instance.")
        .add(&JobInstanceSettings::zone,
             "zone",
             Required,
             NotEmpty{},
             "Availability zone that the instance stands in.")
        .add(&JobInstanceSettings::cores,
             "cores",
             1.0,
             range(0.001, 1024.0),
             "Share of the processor. Stronger instances own the shards where there are enough of them.")
        .add(&JobInstanceSettings::speed,
             "speed",
             1.0,
             range(0.001, 1024.0),
             "Speed of a core against a usual one.")
        .add(&JobInstanceSettings::linkMbps,
             "link_mbps",
             1000.0,
             range(0.001, 1e6),
             "Bandwidth of the instance's own link, Mbit/s.")
        .add(&JobInstanceSettings::memoryMb,
             "memory_mb",
             128,
             range<std::uint32_t>(32, 1'048'576),
             "Memory that the process may use. Two fifths of it are for the connections that others open: a "
             "quarter of these for requests being received, a quarter for those being handled, half for "
             "answers that are not read yet. An eighth, 24 MB at most, is for jobs, and a quarter, 45 MB at "
             "most, for the tasks of those that have been begun.")
        .add(&JobInstanceSettings::descriptors,
             "descriptors",
             4200,
             range<std::uint32_t>(232, 1'048'576),
             "Open files and sockets that the process may have. Without 200 for files, half of them are for "
             "connections that others open; another one then closes the one that is idle for longest.");
    settings.section(&JobSettings::callers, "callers", "How callers hand in jobs.")
        .add(&ListenSettings::address,
             "address",
             Required,
             AnyValue{},
             "Where callers' requests are accepted.");
    settings.section(&JobSettings::readiness, "readiness", "What the balancer asks.")
        .add(&ListenSettings::address, "address", Required, AnyValue{}, "Where /readyz is answered.");
    settings.section(&JobSettings::peers, "peers", "Requests between the system's own processes.")
        .add(
            &ListenSettings::address, "address", Required, AnyValue{}, "Where peers' requests are accepted.");
    settings.section(&JobSettings::operators, "operators", "What operators look at.")
        .add(&ListenSettings::address, "address", Required, AnyValue{}, "Where /metrics is answered.");
}

void declareStore(JobDeclarations &settings)
{
    settings.section(&JobSettings::store, "store", "The platform's store.")
        .add(&StoreSettings::address, "address", Required, AnyValue{}, "Where the store is.")
        .add(&StoreSettings::shards,
             "shards",
             24,
             range<std::uint32_t>(1, 100'000),
             "Parts that jobs are divided into, as many as a topic of the store has partitions.")
        .add(&StoreSettings::minMembershipLifetime,
             "least_membership_ms",
             1s,
             range<Milliseconds>(100ms, 60s),
             "The shortest lifetime of a membership that the store accepts; ours is half as long again.")
        .add(&StoreSettings::batchPeriod,
             "batch_period_ms",
             25ms,
             range<Milliseconds>(1ms, 1s),
             "Between two appends of a shard; what happens meanwhile goes into one.");
}

void declareWorkers(JobDeclarations &settings)
{
    settings.section(&JobSettings::workers, "workers", "How runs on workers are kept.")
        .add(&WorkersSettings::leaseLimit,
             "lease_limit_ms",
             6s,
             range<Milliseconds>(500ms, 600s),
             "The longest lease that workers grant.")
        .add(
            &WorkersSettings::lease,
            "lease_ms",
            3s,
            range<Milliseconds>(500ms, 600s),
            "How long a worker goes on without hearing from its owner. Shorter: what ran on a lost worker is "
            "restarted sooner. Longer: more time for another owner to take over.")
        .add(&WorkersSettings::renewal,
             "renewal_ms",
             800ms,
             range<Milliseconds>(100ms, 1900ms),
             "Between two renewals of a worker that runs something.")
        .add(&WorkersSettings::staleOwnerTimeout,
             "adrift_ms",
             2s,
             range<Milliseconds>(1500ms, 60s),
             "How long an owner that lost the store, while others have it, may go on renewing. A later owner "
             "waits as long before it restarts what ran on workers that it can't reach.")
        .add(&WorkersSettings::learnsRunTimes,
             "learn_run_times",
             true,
             AnyValue{},
             "Whether tasks are expected to take what finished ones have taken, where that has proved to be "
             "closer than the declared times.");
}

void declareMachines(JobDeclarations &settings)
{
    settings.section(&JobSettings::advice, "advice", "Queues whose own policy decides on workers.")
        .add(&AdviceSettings::address,
             "address",
             std::nullopt,
             AnyValue{},
             "Where the service is that knows these policies; empty: there are none.");
    settings.section(&JobSettings::machines, "machines", "How machines are moved and maintained.")
        .add(&MachinesSettings::address,
             "address",
             Required,
             AnyValue{},
             "Where the service is that lists, moves and maintains machines.")
        .add(&MachinesSettings::takeoverDelay,
             "hand_over_ms",
             3s,
             range<Milliseconds>(0ms, 60s),
             "A new owner of the machines gives no order for so long.")
        .add(&MachinesSettings::move,
             "move_s",
             1.5,
             range(0.0, 3600.0),
             "Seconds that a machine takes to begin in another pool.")
        .add(&MachinesSettings::upkeep, "upkeep_s", 2.0, range(0.0, 3600.0), "Seconds that its upkeep takes.")
        .add(&MachinesSettings::movesMachines,
             "moves",
             true,
             AnyValue{},
             "Machines follow the demand from pool to pool; otherwise they stay.");
}

void declareShutdown(JobDeclarations &settings)
{
    settings.section(&JobSettings::shutdown, "shutdown", "How the process ends.")
        .add(&ShutdownSettings::grace,
             "grace_s",
             6,
             range<std::uint32_t>(1, 600),
             "Seconds between the request to end and the kill.")
        .add(&ShutdownSettings::notice,
             "notice_ms",
             2500ms,
             range<Milliseconds>(0ms, 60s),
             "Requests are still accepted for so long after readiness has ended: the balancer looks once a "
             "second and wants two misses.");
}

JobDeclarations declareAll()
{
    JobDeclarations settings;
    declareAddresses(settings);
    declareStore(settings);
    declareWorkers(settings);
    declareMachines(settings);
    declareShutdown(settings);
    return settings;
}

} // namespace

const Declarations<JobSettings> &jobDeclarations()
{
    static const JobDeclarations Declared = declareAll();
    return Declared;
}

} // namespace Settings
