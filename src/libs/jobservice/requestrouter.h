#pragma once

#include "candidacy.h"
#include "fleetconfig.h"
#include "isolation.h"
#include "retryrules.h"
#include "shardhost.h"
#include "silentpeers.h"

#include <http/client.h>

#include <map>
#include <string>

namespace JobService
{

struct RouterSettings {
    Base::Duration ownersReadInterval =
        std::chrono::milliseconds{1000}; ///< between two reads of the list of owners
    Base::Duration minOwnersReadInterval =
        std::chrono::milliseconds{200}; ///< shortest, after a request has failed
    Base::Duration handOverTimeout = std::chrono::milliseconds{600}; ///< wait for a shard without an owner
    Base::Duration ownerRetryDelay = std::chrono::milliseconds{100}; ///< between two attempts at such a shard
    Base::Duration replyMargin = std::chrono::milliseconds{100}; ///< left to send the answer to the caller
    Base::Duration retryDelay = std::chrono::milliseconds{150}; ///< before the owner is asked again
    Base::Duration peerTimeout =
        std::chrono::milliseconds{1000}; ///< owners usually answer within tenths of a second
    Base::Duration probeThreshold =
        std::chrono::milliseconds{600}; ///< without contact to the store or a peer, before peers are probed
    Base::Duration isolationTimeout =
        std::chrono::milliseconds{1200}; ///< without any contact, before this member counts as isolated
};

/// Routes job requests to the owner of their shard: to this member, or to another one in a single hop.
template<ShardPlatform Platform>
class RequestRouter
{
public:
    using Reply = std::function<void(JobReply)>;

    RequestRouter(Platform &platform,
                  Base::TimerService &timers,
                  Http::Client &peers,
                  ShardHost<Platform> &host,
                  const std::string &ownName,
                  std::string ownZone,
                  const RouterSettings &settings)
        : m_platform(platform)
        , m_timers(timers)
        , m_peers(peers)
        , m_host(host)
        , m_settings(settings)
        , m_ownName(memberNameFrom(ownName))
        , m_isolation(std::move(ownZone), settings.probeThreshold, settings.isolationTimeout)
        , m_ownersTimer(timers)
    {
    }

    using OwnersRead = std::function<void(std::span<const ShardOwner>)>;

    /// `ownersRead` is called with each list of all owners that is received.
    void start(OwnersRead ownersRead)
    {
        m_onOwnersRead = std::move(ownersRead);
        readOwners();
        m_timers.subscribeEvery(ProbeInterval, [this] { probePeers(); });
    }

    /// Replies within `limit`, with Unknown if the owner was asked and didn't answer.
    void route(JobRequest request, Base::Duration limit, Reply reply)
    {
        const Base::Instant now = m_timers.now();
        const auto ownerTimeout = std::min<Base::Duration>(limit / 2, m_settings.handOverTimeout);
        send(std::make_shared<RoutedRequest>(
            RoutedRequest{std::move(request), now + limit, now + ownerTimeout, std::move(reply)}));
    }

    /// Sends the request to the owners of several shards and sums up `pending` of their replies. A reply
    /// other than Done replaces the sum.
    void routeToAll(std::span<const ShardNumber> shards,
                    const JobRequest &request,
                    Base::Duration limit,
                    const Reply &reply)
    {
        struct Sum {
            JobReply reply{.status = JobReply::Status::Done};
            std::size_t remaining = 0;
        };
        const auto sum = std::make_shared<Sum>();
        sum->remaining = shards.size();
        for (const ShardNumber it : shards) {
            JobRequest part = request;
            part.shard = it;
            route(std::move(part), limit, [sum, reply](const JobReply &answer) {
                if (answer.status == JobReply::Status::Done) {
                    sum->reply.pending += answer.pending;
                } else {
                    sum->reply = answer;
                }
                if (--sum->remaining == 0) {
                    reply(sum->reply);
                }
            });
        }
    }

    /// Whether this member can't serve callers while members elsewhere may be able to.
    bool isIsolated() const
    {
        const Base::Instant now = m_timers.now();
        return now - lastStoreContact() > m_settings.isolationTimeout && m_isolation.isIsolated(now);
    }

    /// When the list of owners was last read from the store.
    Base::Instant lastOwnersRead() const
    {
        return m_lastOwnersRead;
    }

    bool knowsOwners() const
    {
        return !m_owners.empty();
    }

    /// Whether a later process of the same member has been seen.
    bool hasEnded(const std::string &member) const
    {
        const MemberName name = memberNameFrom(member);
        const auto it = m_members.find(name.identity);
        return it != m_members.end() && it->second.start > name.start;
    }

    /// Whether a majority of all members, including this one, has lost the store according to reports of the
    /// last second, and no member has reported in that time that it can reach it. Queries all members again.
    bool isStoreUnreachableForMajority()
    {
        const Base::Instant now = m_timers.now();
        std::size_t lost = 1;
        bool hasMemberWithStore = false;
        for (auto &[identity, member] : m_members) {
            if (member.identity == m_ownName.identity) {
                continue;
            }
            if (now - member.answeredAt < StoreStateLifetime) {
                lost += member.hasLostStore ? 1 : 0;
                hasMemberWithStore = hasMemberWithStore || !member.hasLostStore;
            }
            queryStoreState(identity);
        }
        return !hasMemberWithStore && lost * 2 > m_members.size();
    }

    /// Places of the members for which `isWanted` returns true and which have reported within the last
    /// seconds that they can reach the store. Queries these members again.
    template<typename IsWanted>
    std::vector<std::string> readyMembers(IsWanted isWanted)
    {
        std::vector<std::string> ready;
        for (const auto &[identity, member] : m_members) {
            if (identity == m_ownName.identity || !isWanted(memberNameFrom(identity + "/0"))) {
                continue;
            }
            if (m_timers.now() - member.answeredAt < ReadinessLifetime && !member.hasLostStore) {
                ready.push_back(identity);
            }
            queryStoreState(identity);
        }
        return ready;
    }

    /// The endpoints of the other members that this one knows, in a fixed order that begins behind its own.
    std::vector<Ini::Endpoint> otherMembers() const
    {
        std::vector<Ini::Endpoint> endpoints;
        auto it = m_members.upper_bound(m_ownName.identity);
        for (std::size_t n = 0; n < m_members.size(); ++n) {
            it = it == m_members.end() ? m_members.begin() : it;
            if (it->first != m_ownName.identity) {
                endpoints.push_back(it->second.endpoint);
            }
            ++it;
        }
        return endpoints;
    }

    /// The owners known to this member, one line per shard, for a member that can't read them from the store.
    std::string ownersText() const
    {
        std::string text;
        for (const auto &[shard, member] : m_ownerNames) {
            text += std::to_string(shard) + " " + member + "\n";
        }
        return text;
    }

    /// Path under which a member serves ownersText().
    static constexpr std::string_view OwnersPath = "/owners";

    /// Path under which members query each other's connection to the store. The status is 200 if the member
    /// can reach it, and the body is the member's zone.
    static constexpr std::string_view MembershipPath = "/membership";

private:
    static constexpr Base::Duration StoreStateLifetime = std::chrono::milliseconds{1000};
    // The same for readyMembers(), which queries them with every read of the owners.
    static constexpr Base::Duration ReadinessLifetime = std::chrono::milliseconds{2500};
    static constexpr Base::Duration QueryTimeout = std::chrono::milliseconds{500};
    // Interval of the check for lost contact, and the number of peers probed per check.
    static constexpr Base::Duration ProbeInterval = std::chrono::milliseconds{250};
    static constexpr std::size_t PeersPerProbe = 3;

    /// A request on its way to the owner of its shard.
    struct RoutedRequest {
        JobRequest request;
        Base::Instant deadline;
        Base::Instant ownerDeadline; ///< deadline for an owner to appear
        Reply reply;
        bool mayHaveRun = false; ///< an attempt got no answer
    };
    using RoutedRequestPtr = std::shared_ptr<RoutedRequest>;

    struct Member {
        std::string identity;
        Ini::Endpoint endpoint;
        std::uint64_t start = 0; ///< start time of the latest process seen
        Base::Instant answeredAt;
        bool hasLostStore = false;
        bool isQueryPending = false;
    };

    Base::Instant lastStoreContact() const
    {
        return std::max(m_host.lastGrant(), m_lastOwnersRead);
    }

    // Probes only a few peers per check, in turn, to limit the traffic of a large fleet without the store.
    void probePeers()
    {
        m_isolation.storeAnswered(lastStoreContact());
        if (!m_isolation.needsProbe(m_timers.now())) {
            return;
        }
        auto it = m_members.upper_bound(m_lastProbed);
        for (std::size_t n = 0; n < std::min(PeersPerProbe, m_members.size()); ++n) {
            it = it == m_members.end() ? m_members.begin() : it;
            m_lastProbed = it->first;
            if (it->first != m_ownName.identity) {
                queryStoreState(it->first);
            }
            ++it;
        }
    }

    void queryStoreState(const std::string &identity)
    {
        Member &member = m_members[identity];
        if (member.isQueryPending) {
            return;
        }
        member.isQueryPending = true;
        Http::Request request;
        request.target = MembershipPath;
        m_peers.send(
            member.endpoint, std::move(request), QueryTimeout, [this, identity](Http::Outcome outcome) {
                Member &asked = m_members[identity];
                asked.isQueryPending = false;
                if (outcome.response) {
                    asked.answeredAt = m_timers.now();
                    m_silentPeers.answered(asked.endpoint);
                    asked.hasLostStore = outcome.response->status != 200;
                    m_isolation.peerAnswered(outcome.response->body, !asked.hasLostStore, m_timers.now());
                }
            });
    }

    void send(const RoutedRequestPtr &routed)
    {
        const Base::Duration limit = routed->deadline - m_timers.now();
        if (m_host.owns(routed->request.shard)) {
            m_host.handle(routed->request, withTimeout(limit, [this, routed](const JobReply &reply) {
                              handleReply(routed, reply);
                          }));
            return;
        }
        const auto it = m_owners.find(routed->request.shard);
        if (it == m_owners.end()) {
            handleReply(routed, {.status = JobReply::Status::NotOwner});
            return;
        }
        const Ini::Endpoint owner = it->second;
        if (isIsolated() || !m_silentPeers.maySend(owner, m_timers.now())) {
            scheduleOwnersRead();
            handleReply(routed, refusal());
            return;
        }
        m_silentPeers.sent(owner, m_timers.now());
        Http::Request forwarded;
        forwarded.method = "POST";
        forwarded.target = "/jobs";
        forwarded.body = encode(routed->request);
        const auto timeout = std::min(limit - m_settings.replyMargin, m_settings.peerTimeout);
        m_peers.send(owner, std::move(forwarded), timeout, [this, routed, owner](Http::Outcome outcome) {
            if (outcome.response) {
                m_silentPeers.answered(owner);
            }
            handleReply(routed, decodePeerReply(outcome));
        });
    }

    // During a hand-over the next owner is known within some tenths of a second, which is sooner than a
    // refused caller would retry. Requests are therefore held back for that time.
    void handleReply(const RoutedRequestPtr &routed, const JobReply &reply)
    {
        if (reply.status == JobReply::Status::Redirected && !routed->request.isForwardedByHome) {
            routed->request.isForwardedByHome = true;
            routed->request.shard = reply.redirectedTo;
            send(routed);
            return;
        }
        if (reply.status == JobReply::Status::Unknown && isRetryable(routed->request)) {
            routed->mayHaveRun = true;
        }
        if (reply.status != JobReply::Status::NotOwner && shouldRetry(*routed, reply)) {
            m_timers.subscribeAfter(m_settings.retryDelay, [this, routed] { send(routed); });
            return;
        }
        if (reply.status != JobReply::Status::NotOwner) {
            sendFinalReply(*routed, reply);
            return;
        }
        scheduleOwnersRead();
        const Base::Instant now = m_timers.now();
        // While the store is unreachable this member doesn't learn of the next owner.
        const bool hasRecentOwners = now - m_lastOwnersRead < 2 * m_settings.ownersReadInterval;
        if ((now >= routed->ownerDeadline || !hasRecentOwners) && !shouldRetry(*routed, refusal())) {
            sendFinalReply(*routed, refusal());
            return;
        }
        m_timers.subscribeAfter(m_settings.ownerRetryDelay, [this, routed] { send(routed); });
    }

    // Requests that carry a job's ID are idempotent: if the first attempt was stored, its result stands.
    static bool isRetryable(const JobRequest &request)
    {
        return request.operation == Operation::Submit || request.operation == Operation::Cancel
            || request.operation == Operation::State;
    }

    // The request has had no effect and may succeed when it is repeated.
    static bool isRefusal(const JobReply &reply)
    {
        return reply.status == JobReply::Status::Refused || reply.status == JobReply::Status::NotOwner;
    }

    bool shouldRetry(const RoutedRequest &routed, const JobReply &reply) const
    {
        if (!isRetryable(routed.request)) {
            return false;
        }
        if (!isRefusal(reply) && reply.status != JobReply::Status::Unknown) {
            return false;
        }
        const Base::Duration remaining = routed.deadline - m_timers.now() - m_settings.replyMargin;
        if (routed.mayHaveRun) {
            return shouldRetryUnanswered(remaining, m_settings.retryDelay);
        }
        return !isIsolated() && shouldRetryRefused(remaining, m_settings.retryDelay, reply.retryAfter);
    }

    // A later refusal of any kind doesn't undo what an earlier attempt without an answer may have stored.
    static void sendFinalReply(const RoutedRequest &routed, const JobReply &reply)
    {
        const bool isNotRun = isRefusal(reply) || reply.status == JobReply::Status::Unplaceable;
        routed.reply(routed.mayHaveRun && isNotRun ? JobReply{.status = JobReply::Status::Unknown} : reply);
    }

    static JobReply refusal()
    {
        return {.status = JobReply::Status::Refused, .retryAfter = std::chrono::milliseconds{500}};
    }

    JobReply decodePeerReply(const Http::Outcome &outcome)
    {
        if (!outcome.response) {
            scheduleOwnersRead();
            return outcome.verdict == Base::Verdict::NotRun ? refusal()
                                                            : JobReply{.status = JobReply::Status::Unknown};
        }
        const auto reply = decodeReply(outcome.response->body);
        if (reply && reply->status == JobReply::Status::Done) {
            m_isolation.storeAnswered(m_timers.now());
        }
        return reply ? *reply : JobReply{.status = JobReply::Status::Unknown};
    }

    Reply withTimeout(Base::Duration limit, Reply reply)
    {
        struct ReplyGuard {
            Reply reply;
            bool isDone = false;
        };
        auto guard = std::make_shared<ReplyGuard>(ReplyGuard{std::move(reply)});
        const auto timer = m_timers.subscribeAfter(limit - m_settings.replyMargin, [guard] {
            if (!std::exchange(guard->isDone, true)) {
                guard->reply({.status = JobReply::Status::Unknown});
            }
        });
        return [this, guard, timer](JobReply answer) {
            if (!std::exchange(guard->isDone, true)) {
                m_timers.cancel(timer);
                guard->reply(answer);
            }
        };
    }

    void scheduleOwnersRead()
    {
        const Base::Instant earliest =
            std::max<Base::Instant>(m_timers.now(), m_ownersReadAt + m_settings.minOwnersReadInterval);
        if (!m_isReading && (earliest < m_nextRead)) {
            m_nextRead = earliest;
            m_ownersTimer.armAt(earliest, [this] { readOwners(); });
        }
    }

    void readOwners()
    {
        m_isReading = true;
        m_ownersReadAt = m_timers.now();
        m_platform.readOwners([this](std::optional<std::vector<ShardOwner>> owners) {
            if (owners) {
                m_lastOwnersRead = m_timers.now();
                applyOwners(*owners);
            } else if (askPeerForOwners()) {
                return;
            }
            ownersRead();
        });
    }

    void ownersRead()
    {
        m_isReading = false;
        m_nextRead = m_ownersReadAt + m_settings.ownersReadInterval;
        m_ownersTimer.armAt(m_nextRead, [this] { readOwners(); });
    }

    void applyOwners(const std::vector<ShardOwner> &owners)
    {
        m_owners.clear();
        m_ownerNames.clear();
        for (const ShardOwner &it : owners) {
            recordMember(it.member);
            endPredecessorMembership(it.member);
            const auto endpoint = Ini::toEndpoint(std::string_view(it.member).substr(0, it.member.find('/')));
            if (endpoint) {
                m_owners[it.shard] = *endpoint;
                m_ownerNames[it.shard] = it.member;
            }
        }
        m_onOwnersRead(owners);
    }

    // The store may reject this member while it serves others, so the other members are asked in turn.
    // Returns false if the turn has come round to this member.
    bool askPeerForOwners()
    {
        auto it = m_members.upper_bound(m_lastAskedForOwners);
        if (it == m_members.end()) {
            it = m_members.begin();
        }
        if (it == m_members.end() || it->first == m_ownName.identity) {
            m_lastAskedForOwners = m_ownName.identity;
            return false;
        }
        m_lastAskedForOwners = it->first;
        Http::Request request;
        request.target = OwnersPath;
        m_peers.send(it->second.endpoint, std::move(request), QueryTimeout, [this](Http::Outcome outcome) {
            if (outcome.response && outcome.response->status == 200) {
                m_isolation.storeAnswered(m_timers.now()); // that peer could reach it
                applyOwners(parseOwners(outcome.response->body));
            }
            ownersRead();
        });
        return true;
    }

    static std::vector<ShardOwner> parseOwners(std::string_view text)
    {
        std::vector<ShardOwner> owners;
        while (!text.empty()) {
            const std::string_view line = text.substr(0, text.find('\n'));
            text.remove_prefix(std::min(text.size(), line.size() + 1));
            const auto blank = line.find(' ');
            const auto shard = Ini::toInteger(line.substr(0, blank));
            if (shard && blank != std::string_view::npos) {
                owners.push_back({static_cast<ShardNumber>(*shard), std::string(line.substr(blank + 1))});
            }
        }
        return owners;
    }

    // The process that this one replaces keeps its shards until its membership lapses, unless the store is
    // told that it has ended.
    void endPredecessorMembership(const std::string &member)
    {
        const MemberName name = memberNameFrom(member);
        if (name.identity != m_ownName.identity || name.start >= m_ownName.start || m_isEndingPredecessor) {
            return;
        }
        m_isEndingPredecessor = true;
        Base::LogLine(Base::LogLevel::Info, "predecessor-ended").with("member", member);
        m_platform.endMembership(member, [this] {
            m_isEndingPredecessor = false;
            scheduleOwnersRead();
        });
    }

    void recordMember(const std::string &name)
    {
        const MemberName known = memberNameFrom(name);
        const std::string_view identity = known.identity;
        const auto endpoint = Ini::toEndpoint(identity.substr(0, identity.find('/')));
        if (!endpoint) {
            return; // the shard has no owner
        }
        Member &member = m_members[known.identity];
        member.identity = known.identity;
        member.start = std::max(member.start, known.start);
        member.endpoint = *endpoint;
    }

    Platform &m_platform;
    Base::TimerService &m_timers;
    Http::Client &m_peers;
    ShardHost<Platform> &m_host;
    RouterSettings m_settings;
    MemberName m_ownName;
    Isolation m_isolation;
    std::map<std::string, Member> m_members; ///< by identity
    Base::OneShotTimer m_ownersTimer;
    std::map<ShardNumber, Ini::Endpoint> m_owners;
    SilentPeers m_silentPeers;
    std::map<ShardNumber, std::string> m_ownerNames;
    std::string m_lastProbed; ///< identity of the member that was probed last
    std::string m_lastAskedForOwners; ///< identity of the member that was last asked for the owners
    Base::Instant m_ownersReadAt;
    Base::Instant m_nextRead;
    Base::Instant m_lastOwnersRead;
    OwnersRead m_onOwnersRead;
    bool m_isReading = false;
    bool m_isEndingPredecessor = false;
};

} // namespace JobService
