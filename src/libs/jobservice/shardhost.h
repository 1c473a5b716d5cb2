#pragma once

#include "handover.h"
#include "joblocator.h"
#include "membershiptiming.h"
#include "peerprotocol.h"
#include "ports.h"
#include "queuehistory.h"
#include "servicelayout.h"

#include <base/logline.h>
#include <base/oneshottimer.h>
#include <jobs/shard.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>

namespace JobService
{

struct HostSettings {
    Jobs::ShardSettings shard;
    std::size_t memory = 128U << 20U; ///< of this process, in bytes
    Base::Duration minMembershipLifetime =
        std::chrono::milliseconds{1000}; ///< shortest lifetime that the store allows
    Base::Duration retryDelay = std::chrono::milliseconds{150}; ///< before a store call is repeated
    int maxAppendAttempts = 3; ///< for an append that is known not to have been stored
};

struct HostCounts {
    std::uint64_t appends = 0;
    std::uint64_t records = 0;
    std::uint64_t starts = 0;
    std::uint64_t renewals = 0;
    std::uint64_t shardsGained = 0;
    std::uint64_t shardsLost = 0;
    std::uint64_t shardsKept = 0; ///< that the store would have assigned to others
    std::uint64_t jobsRefused = 0;
    std::uint64_t jobsAccepted = 0;
};

/// Hosts the shards that this member owns. Keeps up the membership with the platform, loads shards as they
/// are assigned, executes their commands and handles requests for them.
template<ShardPlatform Platform>
class ShardHost
{
public:
    using WallClock = std::function<Jobs::WallTime()>;
    /// Total time for which the process was suspended while the monotonic clock did not advance.
    using SuspendedTime = std::function<Base::Duration()>;
    using Reply = std::function<void(JobReply)>;

    ShardHost(Platform &platform,
              Base::TimerService &timers,
              WallClock wallClock,
              SuspendedTime suspendedTime,
              std::string member,
              const HostSettings &settings,
              const ServiceLayout &layout)
        : m_platform(platform)
        , m_timers(timers)
        , m_wallClock(std::move(wallClock))
        , m_suspendedTime(std::move(suspendedTime))
        , m_lastSuspendedTime(m_suspendedTime())
        , m_member(std::move(member))
        , m_settings(settings)
        , m_layout(layout)
        , m_timing(settings.minMembershipLifetime)
        , m_joinTimer(timers)
        , m_membershipTimer(timers)
        , m_locator([this](JobRequest request, Base::Duration limit, Reply reply) {
            m_route(std::move(request), limit, std::move(reply));
        })
    {
    }

    using HasEnded = std::function<bool(const std::string &member)>;
    using CheckStoreOutage = std::function<bool()>;
    using ShardGainedCallback = std::function<void()>;
    using Route = std::function<void(JobRequest, Base::Duration limit, Reply)>;

    /// `hasEnded` returns whether a member's process is known to have ended. `isStoreUnreachableForMajority`
    /// returns whether most members have recently reported that they can't reach the store; it is only called
    /// while this member can't reach it either. `gained` is called when this member becomes the owner of a
    /// shard, and again when the shard is loaded and served. `route` forwards requests to the owners of other
    /// shards.
    void start(HasEnded hasEnded,
               CheckStoreOutage isStoreUnreachableForMajority,
               ShardGainedCallback gained,
               Route route)
    {
        m_onShardGained = std::move(gained);
        m_route = std::move(route);
        m_hasEnded = std::move(hasEnded);
        m_isStoreUnreachableForMajority = std::move(isStoreUnreachableForMajority);
    }

    /// Sets where the services of queues are stored. Without it queues are taken to keep their services.
    void setQueueHistory(QueueHistory<Platform> *history)
    {
        m_queueHistory = history;
    }

    /// Sets whether this member should own shards. One that should not hands its shards over.
    void setCandidate(bool isCandidate)
    {
        if (m_isStopping || std::exchange(m_isCandidate, isCandidate) == isCandidate) {
            return;
        }
        Base::LogLine(Base::LogLevel::Info, "candidacy").with("is_candidate", isCandidate);
        if (isCandidate) {
            join();
        } else {
            leave("stronger members own the shards");
        }
    }

    /// Hands all shards over. `done` is called when the platform has been notified, or can't be reached.
    void stop(std::function<void()> done)
    {
        m_isStopping = true;
        m_joinTimer.disarm();
        releaseShards(m_ownership.removeAll(), "stopping", [this, done = std::move(done)]() mutable {
            m_platform.leaveMembership(std::move(done));
        });
    }

    /// Takes effect for shards that are gained from now on.
    void setSettings(const HostSettings &settings)
    {
        m_settings = settings;
    }

    void setWorkers(std::vector<Jobs::WorkerInfo> workers)
    {
        m_workers = std::move(workers);
        for (auto &[number, hosted] : m_hosted) {
            if (hosted->isServing) {
                hosted->shard->setWorkers(workersOf(number), m_timers.now());
                hosted->shard->setArrivalRates(arrivalRates(number));
                runPass(number);
            }
        }
    }

    /// Whether this member owns the shard of any service, and so controls its workers.
    bool ownsWorkers() const
    {
        return std::any_of(m_hosted.begin(), m_hosted.end(), [this](const auto &it) {
            return m_layout.hasService(it.first);
        });
    }

    bool owns(ShardNumber shard) const
    {
        return m_hosted.count(shard) > 0;
    }

    /// The epoch under which this member owns and serves the shard, or nullopt if it doesn't or if the
    /// membership isn't valid.
    std::optional<Jobs::Epoch> epochOf(ShardNumber shard) const
    {
        const auto it = m_hosted.find(shard);
        if (it == m_hosted.end() || !it->second->isServing || !isMember()) {
            return std::nullopt;
        }
        return it->second->shard->epoch();
    }

    bool isMember() const
    {
        return m_ownership.isValid(m_timers.now());
    }

    Base::Instant lastGrant() const
    {
        return m_lastGrant;
    }

    bool hasService(ShardNumber shard) const
    {
        return m_layout.hasService(shard);
    }

    /// Calls `visit` with the number and the shard for each shard that is served.
    template<typename Visit>
    void forEachServingShard(Visit visit) const
    {
        const auto hosted = m_hosted;
        for (const auto &[number, it] : hosted) {
            if (it->isServing) {
                visit(number, std::as_const(*it->shard));
            }
        }
    }

    /// Sets what the workspaces may have running on a shard.
    void setQuotaLimits(ShardNumber number, Jobs::QuotaUsage::Limits limits)
    {
        const auto it = m_hosted.find(number);
        if (it != m_hosted.end() && it->second->isServing
            && it->second->shard->setQuotaLimits(std::move(limits))) {
            runPass(number);
        }
    }

    /// `callback` is called when a shard begins to be served, and whenever a limit keeps tasks from starting.
    void setQuotaCallback(std::function<void()> callback)
    {
        m_onQuotaBlocked = std::move(callback);
    }

    /// Sets the accepted load of the workspaces.
    void setWorkspaces(std::span<const Workspace> workspaces)
    {
        m_workspaces.assign(workspaces.begin(), workspaces.end());
        for (auto &[number, hosted] : m_hosted) {
            hosted->shard->setArrivalRates(arrivalRates(number));
        }
    }

    const HostCounts &counts() const
    {
        return m_counts;
    }

    /// Of all shards that this process has hosted.
    Jobs::LossCounts losses() const
    {
        Jobs::LossCounts all = m_lossesOfEarlierShards;
        for (const auto &[number, hosted] : m_hosted) {
            all += hosted->shard->losses();
        }
        return all;
    }

    Jobs::UnconfirmedRuns unconfirmedRuns() const
    {
        Jobs::UnconfirmedRuns all;
        forEachServingShard(
            [&](ShardNumber, const Jobs::Shard &shard) { all += shard.unconfirmedRuns(m_timers.now()); });
        return all;
    }

    std::size_t strayRunCount() const
    {
        std::size_t n = 0;
        forEachServingShard([&](ShardNumber, const Jobs::Shard &shard) { n += shard.strayRunCount(); });
        return n;
    }

    /// An upper estimate of the memory of the jobs, see Jobs::Shard::heldBytes().
    std::size_t heldBytes() const
    {
        std::size_t bytes = 0;
        for (const auto &[number, hosted] : m_hosted) {
            bytes += hosted->shard->heldBytes();
        }
        return bytes;
    }

    void handle(JobRequest request, Reply reply)
    {
        const auto it = m_hosted.find(request.shard);
        if (it == m_hosted.end()) {
            reply({.status = JobReply::Status::NotOwner});
            return;
        }
        const HostedPtr hosted = it->second;
        const ShardNumber number = it->first;
        detectSuspension();
        if (!hosted->isServing) {
            hosted->pendingRequests.push_back({std::move(request), std::move(reply)});
            return;
        }
        serve(hosted, std::move(request), std::move(reply));
        runPass(number);
    }

private:
    // Readings of two clocks taken one after the other differ by less than this.
    static constexpr Base::Duration SuspensionThreshold = std::chrono::milliseconds{50};
    // Part of ShardSettings::staleOwnerTimeout, the time that the next owner allows for this one to stop. The
    // rest covers the call in flight.
    static constexpr Base::Duration LapsedGracePeriod = std::chrono::milliseconds{500};
    static constexpr Base::Duration MembershipCheckInterval = std::chrono::milliseconds{200};
    // After this time a shard is handed over without a record of its release.
    static constexpr Base::Duration ReleaseTimeout = std::chrono::milliseconds{300};

    // Timeout of requests to the owners of other shards.
    static constexpr Base::Duration OtherOwnerTimeout = std::chrono::milliseconds{2000};

    struct PendingRequest {
        JobRequest request;
        Reply reply;
    };
    /// Other shards are being asked for a job that is to be accepted.
    struct Search {
        std::size_t requests = 0; ///< that wait for the result
        bool hasYielded = false; ///< another shard that asks for the same job may accept it
    };
    struct Hosted {
        Hosted(std::unique_ptr<Jobs::Shard> unloaded, Base::TimerService &timers)
            : shard(std::move(unloaded))
            , timer(timers)
        {
        }
        std::unique_ptr<Jobs::Shard> shard;
        Base::OneShotTimer timer;
        std::vector<PendingRequest> pendingRequests; ///< requests that arrived before the shard was loaded
        std::map<std::string, Search, std::less<>> searches; ///< by job
        bool isServing = false;
        bool isRunningPass = false;
        bool hasWritten = false;
        bool mayBeStored = false; ///< an attempt of the append in flight got no answer
        bool isAppending = false;
        std::function<void()>
            onAppendFinished; ///< called once the append in flight has ended, if the shard is lost
        int attempts = 0;
        std::uint64_t sequence = 1;
        Base::Instant appendSentAt; ///< of the append in flight
        std::optional<Base::Instant> writtenAt; ///< when the latest append that was accepted was sent
        std::optional<Base::Instant>
            unlistedSince; ///< since when the store would assign it to another member
    };
    using HostedPtr = std::shared_ptr<Hosted>;

    /// What this process has sent as the owner of a shard in its latest epoch there.
    struct Sent {
        Jobs::Epoch epoch = 0;
        std::uint64_t lastSequence = 0; ///< of an append
        Jobs::OrderToken highestToken = 0; ///< of orders while the shard was hosted earlier; 0: it wasn't
    };

    void join()
    {
        const Base::Instant askedAt = m_timers.now();
        m_joinTimer.disarm();
        const MembershipRenewal renewal{
            m_ownership.generation(), m_timing.lifetime(), m_timing.renewalTimeout()};
        m_platform.renewMembership(
            renewal, [this, askedAt, lifetime = renewal.lifetime](std::optional<MembershipGrant> grant) {
                if (m_isStopping) {
                    return;
                }
                if (!m_isCandidate) {
                    leave("stronger members own the shards"); // gives back what this answer may have granted
                    return;
                }
                std::vector<ShardNumber> lost;
                if (grant) {
                    m_timing.renewalAnswered(m_timers.now() - askedAt);
                    m_handover.renewalAnswered(m_timers.now() - askedAt, m_timers.now());
                    lost = applyGrant(*grant, askedAt, lifetime);
                } else {
                    m_timing.renewalMissed();
                    m_handover.renewalMissed(m_timers.now());
                }
                checkMembership();
                if (!lost.empty()) {
                    // Renewing at once lets the platform reassign the released shards.
                    releaseShards(lost, "reassigned", [this] { joinUnlessStopping(); });
                    return;
                }
                m_joinTimer.armAt(
                    std::max<Base::Instant>(askedAt + m_timing.renewalInterval(), m_timers.now()),
                    [this] { join(); });
            });
    }

    void joinUnlessStopping()
    {
        if (!m_isStopping && m_isCandidate) {
            join();
        }
    }

    void leave(std::string_view reason)
    {
        m_joinTimer.disarm();
        releaseShards(m_ownership.removeAll(), reason, [this] {
            if (!m_isCandidate) {
                m_platform.leaveMembership([] {});
            }
        });
    }

    // A shard that one grant both takes away and assigns anew is dropped before it is loaded again.
    std::vector<ShardNumber>
    applyGrant(const MembershipGrant &grant, Base::Instant askedAt, Base::Duration lifetime)
    {
        m_lastGrant = m_timers.now();
        const bool keepsShards = keepsUnlisted(grant);
        const auto change = m_ownership.granted(grant, askedAt, lifetime, keepsShards);
        std::vector<ShardNumber> lost;
        for (const ShardNumber it : change.lost) {
            if (m_ownership.epoch(it) != 0) {
                stopHosting(it, "regained");
            } else {
                lost.push_back(it);
            }
        }
        for (const ShardNumber it : change.gained) {
            startHosting(it);
        }
        return lost;
    }

    // The store learns of all shards that are given up with one generation, so either all are kept or none.
    bool keepsUnlisted(const MembershipGrant &grant)
    {
        const Base::Instant now = m_timers.now();
        bool mayKeep = true;
        std::vector<ShardNumber> unlisted;
        for (const auto &[number, hosted] : m_hosted) {
            if (std::find(grant.shards.begin(), grant.shards.end(), number) != grant.shards.end()) {
                hosted->unlistedSince.reset();
                continue;
            }
            mayKeep = mayKeep && m_handover.mayKeep(unlistedShard(*hosted), now);
            unlisted.push_back(number);
        }
        for (const ShardNumber it : unlisted) {
            if (mayKeep) {
                keep(it, *m_hosted.at(it));
            }
        }
        return mayKeep;
    }

    UnlistedShard unlistedShard(const Hosted &hosted) const
    {
        return {hosted.unlistedSince.value_or(m_timers.now()), hosted.writtenAt, hosted.isServing};
    }

    void keep(ShardNumber number, Hosted &hosted)
    {
        const Base::Instant now = m_timers.now();
        if (!hosted.unlistedSince) {
            hosted.unlistedSince = now;
            ++m_counts.shardsKept;
            Base::LogLine(Base::LogLevel::Info, "shard-kept")
                .with("shard", number)
                .with("epoch", hosted.shard->epoch())
                .with("reason", "answers of the store are lost or late");
        }
        if (Handover::needsWrite(unlistedShard(hosted), now)) {
            hosted.shard->confirmOwnership();
        }
    }

    // After the membership has lapsed the store may assign the shards to other members, unless it is down for
    // all of them.
    void checkMembership()
    {
        const Base::Instant now = m_timers.now();
        m_membershipTimer.disarm();
        if (!m_hosted.empty() && !m_ownership.isValid(now)) {
            if (m_isStoreUnreachableForMajority()) {
                m_lastMajorityOutage = now;
            }
            if (now > std::max(m_ownership.validUntil(), m_lastMajorityOutage) + LapsedGracePeriod) {
                for (const ShardNumber it : m_ownership.removeAll()) {
                    stopHosting(it, "membership lapsed");
                }
            }
        }
        if (!m_hosted.empty()) {
            m_membershipTimer.armAt(
                std::max<Base::Instant>(m_ownership.validUntil(), now + MembershipCheckInterval),
                [this] { checkMembership(); });
        }
        for (auto it = m_hosted.begin(); it != m_hosted.end();) {
            runPass((it++)->first);
        }
    }

    void startHosting(ShardNumber number)
    {
        // Shards without a service have nothing to own; they are read when they get one.
        const auto epoch = m_ownership.epoch(number);
        Sent &sent = m_sent[number];
        if (sent.epoch != epoch) {
            sent = {epoch};
        }
        auto hosted = std::make_shared<Hosted>(makeShard(number), m_timers);
        m_hosted[number] = hosted;
        ++m_counts.shardsGained;
        m_onShardGained();
        if (sent.lastSequence > 0) {
            hosted->sequence = sent.lastSequence;
            settleEarlierAppends(number, hosted);
            return;
        }
        loadShard(number, hosted);
    }

    // With a higher token than before, orders from the earlier time as the owner are fenced.
    std::unique_ptr<Jobs::Shard> makeShard(ShardNumber number) const
    {
        const Sent &sent = m_sent.at(number);
        return std::make_unique<Jobs::Shard>(
            m_settings.shard, sent.epoch, m_member, sent.highestToken > 0 ? sent.highestToken + 1 : 0);
    }

    // The store does not end a membership while only its answers are lost, so a shard can be regained under
    // the epoch under which this process has already appended. Each epoch has one series of sequence numbers,
    // and the store takes a number that it has seen for a repeat. So the series is continued. The last append
    // may still be under way; once the store has answered another one with the same number, it has either
    // been carried out or never will be, and the records can be read.
    void settleEarlierAppends(ShardNumber number, const HostedPtr &hosted)
    {
        const Jobs::Record record{std::string(Jobs::Shard::UnusedKey), {}};
        append(number, hosted, std::span(&record, 1), [this, number, hosted](StoreAnswer answer) {
            if (!isCurrent(number, hosted)) {
                return;
            }
            switch (answer.status) {
            case StoreStatus::Done:
                Base::LogLine(Base::LogLevel::Info, "epoch-continued")
                    .with("shard", number)
                    .with("epoch", hosted->shard->epoch())
                    .with("sequence", hosted->sequence);
                ++hosted->sequence;
                hosted->hasWritten = true;
                loadShard(number, hosted);
                return;
            case StoreStatus::Fenced:
                relinquish(number, "the store has a newer owner");
                return;
            case StoreStatus::OutOfSequence:
                hosted->sequence = answer.expectedSequence;
                break;
            case StoreStatus::Unknown:
            case StoreStatus::NotDone:
            case StoreStatus::Full:
                break;
            }
            refusePendingRequests(*hosted);
            hosted->timer.arm(m_settings.retryDelay, [this, number, hosted] {
                if (isCurrent(number, hosted)) {
                    settleEarlierAppends(number, hosted);
                }
            });
        });
    }

    void loadShard(ShardNumber number, const HostedPtr &hosted)
    {
        m_platform.loadShard(
            number,
            hosted->shard->epoch(),
            [hosted](std::string_view key, std::string_view value, bool isLast) {
                hosted->shard->load(key, value, isLast);
            },
            [this, number, hosted](StoreAnswer answer) {
                if (!isCurrent(number, hosted)) {
                    return;
                }
                if (answer.status == StoreStatus::Done) {
                    startServing(number, hosted);
                    return;
                }
                if (answer.status == StoreStatus::Fenced) {
                    relinquish(number, "the store has a newer owner");
                    return;
                }
                hosted->shard = makeShard(number);
                refusePendingRequests(*hosted);
                hosted->timer.arm(m_settings.retryDelay, [this, number, hosted] {
                    if (isCurrent(number, hosted)) {
                        loadShard(number, hosted);
                    }
                });
            });
    }

    void startServing(ShardNumber number, const HostedPtr &hosted)
    {
        const Base::Instant now = m_timers.now();
        hosted->isServing = true;
        hosted->shard->setArrivalRates(arrivalRates(number));
        hosted->shard->begin(now, m_wallClock(), m_hasEnded);
        hosted->shard->setWorkers(workersOf(number), now);
        if (!hosted->shard->jobs().empty() || !workersOf(number).empty()) {
            Base::LogLine(Base::LogLevel::Info, "shard-gained")
                .with("shard", number)
                .with("epoch", hosted->shard->epoch())
                .with("jobs", hosted->shard->jobs().size());
        }
        for (PendingRequest &it : std::exchange(hosted->pendingRequests, {})) {
            serve(hosted, std::move(it.request), std::move(it.reply));
        }
        runPass(number);
        m_onShardGained();
        m_onQuotaBlocked();
    }

    // A service's jobs are spread evenly over its cells, and so is the accepted load of its callers.
    Jobs::ArrivalAllowance::Rates arrivalRates(ShardNumber number) const
    {
        Jobs::ArrivalAllowance::Rates rates;
        const auto cells = static_cast<double>(std::max<std::size_t>(1, m_layout.cellsBeside(number)));
        for (const Workspace &it : m_workspaces) {
            if (it.weight > 0) {
                rates[it.name] = it.weight / cells;
            }
        }
        return rates;
    }

    void refusePendingRequests(Hosted &hosted)
    {
        for (PendingRequest &it : std::exchange(hosted.pendingRequests, {})) {
            it.reply({.status = JobReply::Status::Refused, .retryAfter = std::chrono::milliseconds{1000}});
        }
    }

    void stopHosting(ShardNumber number, std::string_view reason)
    {
        const auto it = m_hosted.find(number);
        if (it == m_hosted.end()) {
            return;
        }
        const HostedPtr hosted = it->second;
        m_hosted.erase(it);
        hosted->timer.disarm();
        ++m_counts.shardsLost;
        m_lossesOfEarlierShards += hosted->shard->losses();
        if (!hosted->shard->jobs().empty()) {
            Base::LogLine(Base::LogLevel::Info, "shard-lost")
                .with("shard", number)
                .with("epoch", hosted->shard->epoch())
                .with("reason", reason);
        }
        refusePendingRequests(*hosted);
        if (!hosted->isServing) {
            return;
        }
        m_sent[number].highestToken = hosted->shard->highestToken();
        hosted->shard->refusePendingRequests();
        for (Jobs::Command &command : hosted->shard->takeCommands()) {
            if (const auto *answer = std::get_if<Jobs::SendReply>(&command)) {
                sendReply(*answer);
            }
        }
    }

    // The release record is appended after the append in flight, if there is one.
    void releaseShards(const std::vector<ShardNumber> &numbers,
                       std::string_view reason,
                       std::function<void()> done)
    {
        struct Completion {
            explicit Completion(std::function<void()> onDone)
                : done(std::move(onDone))
            {
            }
            Completion(const Completion &) = delete;
            Completion &operator=(const Completion &) = delete;
            ~Completion()
            {
                done();
            }
            std::function<void()> done;
        };
        const auto completion = std::make_shared<Completion>(std::move(done));
        for (const ShardNumber it : numbers) {
            const auto found = m_hosted.find(it);
            if (found == m_hosted.end()) {
                continue;
            }
            const HostedPtr hosted = found->second;
            stopHosting(it, reason);
            if (!hosted->isServing || !hosted->hasWritten) {
                continue;
            }
            if (!hosted->isAppending) {
                appendReleaseRecord(it, hosted, completion);
                continue;
            }
            hosted->onAppendFinished = [this, it, hosted, completion] {
                appendReleaseRecord(it, hosted, completion);
            };
            m_timers.subscribeAfter(ReleaseTimeout, [hosted] { hosted->onAppendFinished = nullptr; });
        }
    }

    template<typename Completion>
    void appendReleaseRecord(ShardNumber number, const HostedPtr &hosted, const Completion &completion)
    {
        if (m_hosted.count(number) > 0) {
            return; // the shard has been regained in the meantime
        }
        const auto records = hosted->shard->releaseRecords(m_timers.now());
        append(number, hosted, records, [completion](StoreAnswer) {});
    }

    void relinquish(ShardNumber number, std::string_view reason)
    {
        stopHosting(number, reason);
        m_ownership.remove(number);
    }

    bool isCurrent(ShardNumber number, const HostedPtr &hosted) const
    {
        const auto it = m_hosted.find(number);
        return it != m_hosted.end() && it->second == hosted;
    }

    std::vector<Jobs::WorkerInfo> workersOf(ShardNumber number) const
    {
        std::vector<Jobs::WorkerInfo> found;
        for (const Jobs::WorkerInfo &it : m_workers) {
            if (m_layout.shardOf(it) == number) {
                found.push_back(it);
            }
        }
        return found;
    }

    /// `isLocated` is set if the other shards that may have the job have replied that they don't.
    void serve(const HostedPtr &hosted, JobRequest request, Reply reply, bool isLocated = false)
    {
        Jobs::Shard &shard = *hosted->shard;
        switch (request.operation) {
        case Operation::Submit: {
            const Jobs::JobSpec &spec = *request.spec;
            if (!isAccessible(shard, spec.id, request)) {
                reply({.status = JobReply::Status::Unplaceable}); // the ID belongs to another job
                return;
            }
            if (!isLocated && isUnknown(shard, spec.id, request) && mayBeElsewhere(request)) {
                locateSubmitted(hosted, std::move(request), std::move(reply));
                return;
            }
            const Jobs::ReplyId id = ++m_lastReply;
            m_replies[id] = std::move(reply);
            ShardNumber assignedShard = shard.redirectedTo(spec.id).value_or(request.shard);
            if (assignedShard == request.shard && !request.isForwardedByHome && !shard.contains(spec.id)) {
                assignedShard = chooseShard(spec, request.shard, m_layout, m_workers);
            }
            if (assignedShard != request.shard) {
                shard.redirect(spec.id, assignedShard, id, m_timers.now(), m_wallClock());
                return;
            }
            shard.submit(std::move(*request.spec), id, m_timers.now(), m_wallClock());
            return;
        }
        case Operation::Cancel: {
            if (isRedirectUnsettled(shard, request.subject) || hosted->searches.count(request.subject) > 0) {
                reply(unsettledJob(request));
                return;
            }
            if (const auto assignedShard = shard.redirectedTo(request.subject)) {
                reply({.status = JobReply::Status::Redirected, .redirectedTo = *assignedShard});
                return;
            }
            if (!isLocated && isUnknown(shard, request.subject, request) && isMember()) {
                locate(hosted, std::move(request), std::move(reply));
                return;
            }
            if (!isAccessible(shard, request.subject, request)
                || (!shard.find(request.subject) && !canDeny(*hosted))) {
                reply(unknownJob(*hosted));
                return;
            }
            const Jobs::ReplyId id = ++m_lastReply;
            m_replies[id] = std::move(reply);
            shard.cancel(request.subject, id, m_timers.now(), m_wallClock());
            return;
        }
        case Operation::State: {
            if (request.intendedHome && m_queueHistory) {
                m_queueHistory->learn(request.intendedHome->queue, request.intendedHome->service);
            }
            const bool isHeld =
                shard.isUnsettled(request.subject) && isAccessible(shard, request.subject, request);
            if (isHeld || isSearchAhead(*hosted, request)) {
                reply(unsettledJob(request));
                return;
            }
            if (const auto assignedShard = shard.redirectedTo(request.subject)) {
                reply({.status = JobReply::Status::Redirected, .redirectedTo = *assignedShard});
                return;
            }
            if (!isLocated && isUnknown(shard, request.subject, request) && isMember()) {
                locate(hosted, std::move(request), std::move(reply));
                return;
            }
            const Jobs::Job *job = shard.find(request.subject);
            if (!job || !isAccessible(shard, request.subject, request)) {
                reply(unknownJob(*hosted));
                return;
            }
            reply({.status = JobReply::Status::Done,
                   .state = reportedState(*job),
                   .failureReason = std::string(job->failureReason())});
            return;
        }
        case Operation::Pending:
            reply({.status = JobReply::Status::Done, .pending = shard.pending(request.subject)});
            return;
        case Operation::Demand:
            reply({.status = JobReply::Status::Done, .demand = shard.demand(m_timers.now(), m_wallClock())});
            return;
        case Operation::Evacuate: {
            JobReply done{.status = JobReply::Status::Done};
            for (std::string &it : request.workers) {
                if (shard.evacuate(it, m_timers.now())) {
                    done.emptyWorkers.push_back(std::move(it));
                }
            }
            reply(done);
            return;
        }
        }
    }

    // The home shard of a job follows from the service that its queue has now. The job may have been accepted
    // when the queue had another one.
    bool isUnknown(const Jobs::Shard &shard, std::string_view job, const JobRequest &request) const
    {
        return !request.isForwardedByHome && !shard.contains(job) && !shard.redirectedTo(job)
            && m_queueHistory;
    }

    static bool isRedirectUnsettled(const Jobs::Shard &shard, std::string_view job)
    {
        return shard.isUnsettled(job) && shard.redirectedTo(job);
    }

    // The shards of two services may search for the same job at the same time. Each would deny it to the
    // other, and both would accept it, so the one with the lower number goes first.
    static bool isSearchAhead(Hosted &hosted, const JobRequest &request)
    {
        const auto it = hosted.searches.find(request.subject);
        if (it == hosted.searches.end()) {
            return false;
        }
        if (!request.intendedHome || request.shard < request.intendedHome->shard) {
            return true;
        }
        it->second.hasYielded = true;
        return false;
    }

    /// The shards besides the request's that may have its job.
    std::vector<ShardNumber>
    otherHomes(const std::set<std::string> &services, std::string_view job, const JobRequest &request) const
    {
        std::vector<ShardNumber> shards = m_layout.homeShardsOf(services, job);
        std::erase(shards, request.shard);
        return shards;
    }

    // Members of earlier builds don't send the path.
    static std::vector<std::string> queueOf(const JobRequest &request)
    {
        std::vector<std::string> queue{request.spec->queue.name};
        if (!request.queuePath.empty()) {
            queue.push_back(request.queuePath);
        }
        return queue;
    }

    bool mayBeElsewhere(const JobRequest &request) const
    {
        const auto queue = queueOf(request);
        return !m_queueHistory->contains(queue, request.spec->queue.service)
            || !otherHomes(m_queueHistory->services(queue), request.spec->id, request).empty();
    }

    /// Whether an earlier service of the job's queue is known, whose shard may have the job.
    bool hasOtherHome(const JobRequest &request) const
    {
        return !otherHomes(m_queueHistory->services(queueOf(request)), request.spec->id, request).empty();
    }

    /// Replies with the shard that has the job of a Cancel or State request, or serves the request here. A
    /// job that its shard may still store can be cancelled there.
    void locate(const HostedPtr &hosted, JobRequest request, Reply reply)
    {
        const auto shards = otherHomes(m_layout.services(), request.subject, request);
        if (shards.empty()) {
            serve(hosted, std::move(request), std::move(reply), true);
            return;
        }
        const ShardNumber number = request.shard;
        const auto pending =
            std::make_shared<PendingRequest>(PendingRequest{std::move(request), std::move(reply)});
        const std::string &job = pending->request.subject;
        m_locator.locate(job, shards, [this, number, hosted, pending](const JobLocation &location) {
            const bool isCancel = pending->request.operation == Operation::Cancel;
            const auto shard = location.shard || !isCancel ? location.shard : location.unsettledAt;
            if (shard) {
                pending->reply({.status = JobReply::Status::Redirected, .redirectedTo = *shard});
            } else if (location.isCertain && isCurrent(number, hosted)) {
                serve(hosted, std::move(pending->request), std::move(pending->reply), true);
                runPass(number);
            } else {
                pending->reply(temporaryRefusal());
            }
        });
    }

    /// Accepts a job unless a shard of an earlier service of its queue has it. The present service is stored
    /// first, so that this is known to whoever gets the job again after the next change.
    void locateSubmitted(const HostedPtr &hosted, JobRequest request, Reply reply)
    {
        const auto queue = queueOf(request);
        const std::string service = request.spec->queue.service;
        ++hosted->searches[request.spec->id].requests;
        const auto pending =
            std::make_shared<PendingRequest>(PendingRequest{std::move(request), std::move(reply)});
        const auto locateThere = [this, hosted, pending, queue, service] {
            const std::string &job = pending->request.spec->id;
            const auto shards = otherHomes(m_queueHistory->services(queue), job, pending->request);
            if (shards.empty()) {
                submitLocated(hosted, *pending, JobLocation());
                return;
            }
            m_locator.locate(
                job,
                shards,
                [this, hosted, pending](const JobLocation &location) {
                    submitLocated(hosted, *pending, location);
                },
                IntendedHome{pending->request.shard, queue, service});
        };
        if (m_queueHistory->contains(queue, service)) {
            locateThere();
            return;
        }
        m_queueHistory->record(queue, service, [this, hosted, pending, locateThere](bool isStored) {
            if (isStored) {
                locateThere();
            } else {
                submitLocated(hosted, *pending, std::nullopt);
            }
        });
    }

    // `location` is missing if the queue's service could not be stored.
    // While the other shards were asked, this one may have been lost, and accepted by its next owner what
    // they have denied. A refusal would promise that the job never runs, which another shard may do.
    void submitLocated(const HostedPtr &hosted,
                       PendingRequest &pending,
                       const std::optional<JobLocation> &location)
    {
        const ShardNumber number = pending.request.shard;
        const std::string &job = pending.request.spec->id;
        const auto search = hosted->searches.find(job);
        const bool hasYielded = search->second.hasYielded;
        if (--search->second.requests == 0) {
            hosted->searches.erase(search);
        }
        if (!isCurrent(number, hosted)) {
            pending.reply({.status = JobReply::Status::NotOwner});
            return;
        }
        const bool mayRunElsewhere = !location || !location->isCertain || hasYielded;
        if (location && location->shard) {
            const Jobs::ReplyId id = ++m_lastReply;
            m_replies[id] = std::move(pending.reply);
            hosted->shard->redirect(job, *location->shard, id, m_timers.now(), m_wallClock());
        } else if (!mayRunElsewhere) {
            serve(hosted, std::move(pending.request), std::move(pending.reply), true);
        } else {
            Base::LogLine(Base::LogLevel::Info, "job-not-located")
                .with("request", job)
                .with("shard", number)
                .with("queue_recorded", location.has_value())
                .with("unsettled", location && location->unsettledAt)
                .with("yielded", hasYielded);
            pending.reply(hasOtherHome(pending.request) ? JobReply{.status = JobReply::Status::Unknown}
                                                        : temporaryRefusal());
        }
        runPass(number);
    }

    // To a caller of another workspace the job does not exist.
    static bool isAccessible(const Jobs::Shard &shard, std::string_view job, const JobRequest &request)
    {
        const auto it = shard.jobs().find(job);
        return it == shard.jobs().end() || !request.caller || mayAccess(*request.caller, it->second.spec);
    }

    // Once the membership has lapsed, or while the store would assign the shard to another member, a newer
    // owner may have accepted the job, so "no such job" would be wrong.
    bool canDeny(const Hosted &hosted) const
    {
        return isMember() && !hosted.unlistedSince;
    }

    JobReply unknownJob(const Hosted &hosted) const
    {
        if (canDeny(hosted)) {
            return {.status = JobReply::Status::NoSuchJob};
        }
        return temporaryRefusal();
    }

    static JobReply unsettledJob(const JobRequest &request)
    {
        Base::LogLine(Base::LogLevel::Info, "job-unsettled")
            .with("request", request.subject)
            .with("operation", toString(request.operation))
            .with("shard", request.shard)
            .with("by_member", request.isForwardedByHome);
        JobReply reply = temporaryRefusal();
        reply.isUnsettled = true;
        return reply;
    }

    static JobReply temporaryRefusal()
    {
        return {.status = JobReply::Status::Refused, .retryAfter = std::chrono::milliseconds{1000}};
    }

    static ReportedState reportedState(const Jobs::Job &job)
    {
        switch (job.storedState) {
        case Jobs::JobState::Completed:
            return ReportedState::Completed;
        case Jobs::JobState::Failed:
            return ReportedState::Failed;
        case Jobs::JobState::Cancelled:
            return ReportedState::Cancelled;
        case Jobs::JobState::Active:
            break;
        }
        return job.hasStarted ? ReportedState::Running : ReportedState::Queued;
    }

    void runPass(ShardNumber number)
    {
        const auto it = m_hosted.find(number);
        if (it == m_hosted.end() || !it->second->isServing || it->second->isRunningPass) {
            return;
        }
        const HostedPtr hosted = it->second;
        hosted->isRunningPass = true;
        detectSuspension();
        const Base::Instant now = m_timers.now();
        hosted->shard->setMemoryLimits(Jobs::memoryLimits(m_settings.memory, m_layout.size()));
        hosted->shard->setMembershipLapsed(!m_ownership.isValid(now));
        hosted->shard->processDue(now, m_wallClock());
        for (Jobs::Command &command : hosted->shard->takeCommands()) {
            std::visit([&](auto &order) { execute(number, hosted, order); }, command);
            if (!isCurrent(number, hosted)) {
                return;
            }
        }
        hosted->isRunningPass = false;
        if (hosted->shard->quotaUsage().hasBlocked()) {
            m_onQuotaBlocked();
        }
        hosted->timer.armAt(hosted->shard->nextDue(now), [this, number] { runPass(number); });
    }

    // The store's clock runs on while this machine is suspended, so the membership expires earlier than the
    // local monotonic clock suggests.
    void detectSuspension()
    {
        const Base::Duration totalSuspended = m_suspendedTime();
        if (totalSuspended - m_lastSuspendedTime > SuspensionThreshold) {
            Base::LogLine(Base::LogLevel::Warning, "suspended")
                .with("ms",
                      std::chrono::duration_cast<Jobs::Milliseconds>(totalSuspended - m_lastSuspendedTime)
                          .count());
            m_ownership.shortenBy(totalSuspended - m_lastSuspendedTime);
        }
        m_lastSuspendedTime = totalSuspended;
    }

    void execute(ShardNumber number, const HostedPtr &hosted, Jobs::AppendBatch &batch)
    {
        hosted->attempts = 0;
        hosted->mayBeStored = false;
        ++m_counts.appends;
        m_counts.records += batch.records.size();
        append(number, hosted, std::make_shared<const Jobs::AppendBatch>(std::move(batch)));
    }

    void append(ShardNumber number, const HostedPtr &hosted, std::shared_ptr<const Jobs::AppendBatch> batch)
    {
        hosted->isAppending = true;
        hosted->appendSentAt = m_timers.now();
        append(number, hosted, batch->records, [this, number, hosted, batch](StoreAnswer answer) {
            hosted->isAppending = false;
            if (isCurrent(number, hosted)) {
                appended(number, hosted, batch, answer);
                return;
            }
            hosted->sequence += answer.status == StoreStatus::Done ? 1 : 0;
            if (auto next = std::exchange(hosted->onAppendFinished, nullptr)) {
                next();
            }
        });
    }

    void append(ShardNumber number,
                const HostedPtr &hosted,
                std::span<const Jobs::Record> records,
                StoreCallback done)
    {
        if (Sent &sent = m_sent[number]; sent.epoch == hosted->shard->epoch()) {
            sent.lastSequence = hosted->sequence;
        }
        m_platform.append(number, hosted->shard->epoch(), hosted->sequence, records, std::move(done));
    }

    // An append that got no answer is sent again with the same sequence number until the store reports its
    // outcome.
    void appended(ShardNumber number,
                  const HostedPtr &hosted,
                  const std::shared_ptr<const Jobs::AppendBatch> &batch,
                  StoreAnswer answer)
    {
        const auto finish = [&](Jobs::AppendResult result) {
            hosted->shard->appended(batch->number, result, m_timers.now(), m_wallClock());
            runPass(number);
        };
        switch (answer.status) {
        case StoreStatus::Done:
            ++hosted->sequence;
            hosted->hasWritten = true;
            hosted->writtenAt = hosted->appendSentAt;
            finish(Jobs::AppendResult::Stored);
            return;
        case StoreStatus::Fenced:
            relinquish(number, "the store has a newer owner");
            return;
        case StoreStatus::OutOfSequence:
            if (hosted->hasWritten || hosted->mayBeStored) {
                Base::LogLine(Base::LogLevel::Error, "append-out-of-sequence")
                    .with("shard", number)
                    .with("sent", hosted->sequence)
                    .with("expected", answer.expectedSequence);
                relinquish(number, "the store expects a different sequence number");
                return;
            }
            hosted->sequence = answer.expectedSequence;
            append(number, hosted, batch);
            return;
        case StoreStatus::Unknown:
            hosted->mayBeStored = true;
            break;
        case StoreStatus::Full:
        case StoreStatus::NotDone:
            if (!hosted->mayBeStored
                && (++hosted->attempts >= m_settings.maxAppendAttempts
                    || answer.status == StoreStatus::Full)) {
                Base::LogLine(Base::LogLevel::Warning, "append-refused").with("shard", number);
                finish(Jobs::AppendResult::NotStored);
                return;
            }
            break;
        }
        runPass(number);
        m_timers.subscribeAfter(m_settings.retryDelay, [this, number, hosted, batch] {
            if (isCurrent(number, hosted)) {
                append(number, hosted, batch);
            }
        });
    }

    const Jobs::WorkerInfo *workerInfo(const Hosted &hosted, const std::string &id) const
    {
        const auto it = hosted.shard->workers().find(id);
        return it != hosted.shard->workers().end() && !it->second.info.address.empty() ? &it->second.info
                                                                                       : nullptr;
    }

    void execute(ShardNumber number, const HostedPtr &hosted, Jobs::StartRun &order)
    {
        ++m_counts.starts;
        const Jobs::WorkerInfo *worker = workerInfo(*hosted, order.worker);
        if (!worker) {
            hosted->shard->startAnswered(order, Jobs::OrderResult::NotSent, 0, m_timers.now());
            return;
        }
        m_platform.startRun(*worker, order, [this, number, hosted, order](RunAnswer answer) {
            if (isCurrent(number, hosted)) {
                hosted->shard->startAnswered(order, answer.result, answer.clock, m_timers.now());
                runPass(number);
            }
        });
    }

    void execute(ShardNumber number, const HostedPtr &hosted, Jobs::StopRun &order)
    {
        const Jobs::WorkerInfo *worker = workerInfo(*hosted, order.worker);
        if (!worker) {
            return;
        }
        m_platform.stopRun(*worker, order, [this, number, hosted, order](RunAnswer answer) {
            if (isCurrent(number, hosted)) {
                hosted->shard->stopAnswered(order, answer.result, answer.clock, m_timers.now());
                runPass(number);
            }
        });
    }

    void execute(ShardNumber number, const HostedPtr &hosted, Jobs::RenewLease &order)
    {
        ++m_counts.renewals;
        const Jobs::WorkerInfo *worker = workerInfo(*hosted, order.worker);
        if (!worker) {
            hosted->shard->renewAnswered(
                order, Jobs::OrderResult::NotSent, {}, m_timers.now(), m_wallClock());
            return;
        }
        m_platform.renewLease(
            *worker,
            order,
            [this, number, hosted, order](Jobs::OrderResult result, const Jobs::RunList &list) {
                if (isCurrent(number, hosted)) {
                    hosted->shard->renewAnswered(order, result, list, m_timers.now(), m_wallClock());
                    runPass(number);
                }
            });
    }

    void execute(ShardNumber number, const HostedPtr &hosted, Jobs::PaceRun &order)
    {
        const Jobs::WorkerInfo *worker = workerInfo(*hosted, order.worker);
        if (!worker) {
            hosted->shard->paceAnswered(order, Jobs::OrderResult::NotSent);
            return;
        }
        m_platform.paceRun(*worker, order, [this, number, hosted, order](RunAnswer answer) {
            if (isCurrent(number, hosted)) {
                hosted->shard->paceAnswered(order, answer.result);
            }
        });
    }

    void execute(ShardNumber number, const HostedPtr &hosted, Jobs::AdviceQuery &question)
    {
        m_platform.queryAdvice(question,
                               [this, number, hosted, question](std::optional<Jobs::AdviceAnswer> answer) {
                                   if (isCurrent(number, hosted)) {
                                       hosted->shard->adviceAnswered(question, answer, m_timers.now());
                                       runPass(number);
                                   }
                               });
    }

    void execute(ShardNumber, const HostedPtr &, Jobs::SendReply &order)
    {
        sendReply(order);
    }

    void execute(ShardNumber number, const HostedPtr &hosted, Jobs::QueryRedirectedJob &question)
    {
        m_route({.shard = question.shard,
                 .operation = Operation::State,
                 .subject = question.job,
                 .isForwardedByHome = true},
                OtherOwnerTimeout,
                [this, number, hosted, job = question.job](const JobReply &reply) {
                    if (reply.status == JobReply::Status::NoSuchJob && isCurrent(number, hosted)) {
                        hosted->shard->removeRedirect(job);
                    }
                });
    }

    void execute(ShardNumber number, const HostedPtr &, Jobs::RelinquishShard &order)
    {
        relinquish(number, order.reason);
    }

    void sendReply(const Jobs::SendReply &order)
    {
        const auto it = m_replies.find(order.reply);
        if (it == m_replies.end()) {
            return;
        }
        const Reply reply = std::move(it->second);
        m_replies.erase(it);
        JobReply answer;
        answer.retryAfter = order.retryAfter;
        switch (order.answer) {
        case Jobs::Answer::Accepted:
            ++m_counts.jobsAccepted;
            answer.status = JobReply::Status::Done;
            break;
        case Jobs::Answer::Cancelled:
            answer.status = JobReply::Status::Done;
            answer.state = ReportedState::Cancelled;
            break;
        case Jobs::Answer::Refused:
            ++m_counts.jobsRefused;
            answer.status = JobReply::Status::Refused;
            break;
        case Jobs::Answer::Unplaceable:
            ++m_counts.jobsRefused;
            answer.status = JobReply::Status::Unplaceable;
            break;
        case Jobs::Answer::Unknown:
            answer.status = JobReply::Status::Unknown;
            break;
        case Jobs::Answer::NoSuchJob:
            answer.status = JobReply::Status::NoSuchJob;
            break;
        case Jobs::Answer::Redirected:
            answer.status = JobReply::Status::Redirected;
            answer.redirectedTo = order.redirectedTo;
            break;
        }
        reply(answer);
    }

    Platform &m_platform;
    Base::TimerService &m_timers;
    WallClock m_wallClock;
    SuspendedTime m_suspendedTime;
    Base::Duration m_lastSuspendedTime;
    std::string m_member;
    HostSettings m_settings;
    const ServiceLayout &m_layout;
    Ownership m_ownership;
    MembershipTiming m_timing;
    Handover m_handover;
    Base::OneShotTimer m_joinTimer;
    Base::OneShotTimer m_membershipTimer;
    std::map<ShardNumber, HostedPtr> m_hosted;
    std::map<ShardNumber, Sent> m_sent;
    std::vector<Jobs::WorkerInfo> m_workers;
    std::unordered_map<Jobs::ReplyId, Reply> m_replies;
    Jobs::ReplyId m_lastReply = 0;
    Base::Instant m_lastGrant;
    Base::Instant m_lastMajorityOutage;
    HasEnded m_hasEnded;
    CheckStoreOutage m_isStoreUnreachableForMajority;
    ShardGainedCallback m_onShardGained;
    std::function<void()> m_onQuotaBlocked = [] {
    };
    std::vector<Workspace> m_workspaces;
    Route m_route;
    JobLocator m_locator;
    QueueHistory<Platform> *m_queueHistory = nullptr;
    HostCounts m_counts;
    Jobs::LossCounts m_lossesOfEarlierShards;
    bool m_isCandidate = false;
    bool m_isStopping = false;
};

} // namespace JobService
