#pragma once

#include "candidacy.h"
#include "fleetconfig.h"
#include "isolation.h"
#include "peersilence.h"
#include "repetition.h"
#include "shardhost.h"

#include <http/client.h>

#include <map>
#include <string>

namespace JobService
{

struct RouterSettings {
    Base::Duration ownersPeriod = std::chrono::milliseconds{1000}; ///< between two looks at who owns what
    Base::Duration ownersPause = std::chrono::milliseconds{200}; ///< least, after a surprise
    Base::Duration handOverPatience = std::chrono::milliseconds{600}; ///< for a shard without an owner
    Base::Duration ownerRetryPause = std::chrono::milliseconds{100};
    Base::Duration answerReserve =
        std::chrono::milliseconds{100}; ///< kept for the answer's way to the caller
    Base::Duration repeatPause = std::chrono::milliseconds{150}; ///< before another attempt at an owner
    Base::Duration peerTimeout =
        std::chrono::milliseconds{1000}; ///< an owner answers within tenths of a second
    Base::Duration silenceNoticed =
        std::chrono::milliseconds{600}; ///< without a sign of the store or a peer, before peers are asked
    Base::Duration isolationPatience = std::chrono::milliseconds{1200}; ///< without any sign
};

/// Brings requests for jobs to the owner of their shard: this member, or another one over one hop.
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
        , m_isolation(std::move(ownZone), settings.silenceNoticed, settings.isolationPatience)
        , m_ownersTimer(timers)
    {
    }

    using OwnersRead = std::function<void(std::span<const ShardOwner>)>;

    /// `ownersRead` is called with each list of all owners.
    void start(OwnersRead ownersRead)
    {
        m_whenOwnersRead = std::move(ownersRead);
        readOwners();
        m_timers.subscribeEvery(SignPeriod, [this] { askForSign(); });
    }

    /// Answers within `limit`; Unknown when the owner was asked and said nothing.
    void route(JobRequest request, Base::Duration limit, Reply reply)
    {
        const Base::Instant now = m_timers.now();
        const auto patience = std::min<Base::Duration>(limit / 2, m_settings.handOverPatience);
        send(std::make_shared<Routed>(
            Routed{std::move(request), now + limit, now + patience, std::move(reply)}));
    }

    /// Asks the owners of several shards and adds up what they say of `pending`. Any other answer stands for
    /// all.
    void routeToAll(std::span<const ShardNumber> shards,
                    const JobRequest &request,
                    Base::Duration limit,
                    const Reply &reply)
    {
        struct Sum {
            JobReply reply{.status = JobReply::Status::Done};
            std::size_t left = 0;
        };
        const auto sum = std::make_shared<Sum>();
        sum->left = shards.size();
        for (const ShardNumber it : shards) {
            JobRequest part = request;
            part.shard = it;
            route(std::move(part), limit, [sum, reply](const JobReply &answer) {
                if (answer.status == JobReply::Status::Done) {
                    sum->reply.pending += answer.pending;
                } else {
                    sum->reply = answer;
                }
                if (--sum->left == 0) {
                    reply(sum->reply);
                }
            });
        }
    }

    /// Others may be able to serve callers, this member can't.
    bool isIsolated() const
    {
        const Base::Instant now = m_timers.now();
        return now - lastSignOfStore() > m_settings.isolationPatience && m_isolation.isIsolated(now);
    }

    /// The last time that the store said who owns what.
    Base::Instant lastOwnersRead() const
    {
        return m_lastOwnersRead;
    }

    bool knowsOwners() const
    {
        return !m_owners.empty();
    }

    /// A later life of the same member has been seen.
    bool hasEnded(const std::string &member) const
    {
        const MemberName name = memberNameFrom(member);
        const auto it = m_members.find(name.place);
        return it != m_members.end() && it->second.start > name.start;
    }

    /// Most of all members, with this one, have said within the last second that they have lost the store.
    /// Asks them again.
    bool isStoreLostForMost()
    {
        const Base::Instant now = m_timers.now();
        std::size_t lost = 1;
        bool isMemberElsewhere = false;
        for (auto &[place, member] : m_members) {
            if (member.place == m_ownName.place) {
                continue;
            }
            if (now - member.answeredAt < AnswerLifetime) {
                lost += member.hasLostStore ? 1 : 0;
                isMemberElsewhere = isMemberElsewhere || !member.hasLostStore;
            }
            ask(place);
        }
        return !isMemberElsewhere && lost * 2 > m_members.size();
    }

    /// Places of the members among `isWanted` that have said within the last seconds that they have the
    /// store. Asks them again.
    template<typename IsWanted>
    std::vector<std::string> readyMembers(IsWanted isWanted)
    {
        std::vector<std::string> ready;
        for (const auto &[place, member] : m_members) {
            if (place == m_ownName.place || !isWanted(memberNameFrom(place + "/0"))) {
                continue;
            }
            if (m_timers.now() - member.answeredAt < ReadyLifetime && !member.hasLostStore) {
                ready.push_back(place);
            }
            ask(place);
        }
        return ready;
    }

    /// What this member knows of the owners, for one that can't read them; one line each.
    std::string ownersText() const
    {
        std::string text;
        for (const auto &[shard, member] : m_ownerNames) {
            text += std::to_string(shard) + " " + member + "\n";
        }
        return text;
    }

    /// The path under which members hand on what they know of the owners.
    static constexpr std::string_view OwnersPath = "/owners";

    /// The path under which members ask each other whether they have lost the store; the answer's body is the
    /// zone of who answers.
    static constexpr std::string_view MembershipPath = "/membership";

private:
    static constexpr Base::Duration AnswerLifetime = std::chrono::milliseconds{1000};
    // The same for what readyMembers() tells; they are asked with every look at the owners.
    static constexpr Base::Duration ReadyLifetime = std::chrono::milliseconds{2500};
    static constexpr Base::Duration AskTimeout = std::chrono::milliseconds{500};
    // Between two looks at how long there was no sign of others, and how many are asked for one at a time.
    static constexpr Base::Duration SignPeriod = std::chrono::milliseconds{250};
    static constexpr std::size_t PeersAskedForSign = 3;

    /// A request on its way to the owner of its shard.
    struct Routed {
        JobRequest request;
        Base::Instant deadline;
        Base::Instant waitsUntil; ///< for an owner
        Reply reply;
        bool mayHaveRun = false; ///< an attempt had no answer
    };
    using RoutedPtr = std::shared_ptr<Routed>;

    struct Member {
        std::string place;
        Ini::Endpoint endpoint;
        std::uint64_t start = 0; ///< of the latest life
        Base::Instant answeredAt;
        bool hasLostStore = false;
        bool isAsked = false;
    };

    Base::Instant lastSignOfStore() const
    {
        return std::max(m_host.lastGrant(), m_lastOwnersRead);
    }

    // A few peers in turn, so that a large fleet without the store doesn't talk of nothing else.
    void askForSign()
    {
        m_isolation.heardStore(lastSignOfStore());
        if (!m_isolation.isInDoubt(m_timers.now())) {
            return;
        }
        auto it = m_members.upper_bound(m_lastAskedForSign);
        for (std::size_t n = 0; n < std::min(PeersAskedForSign, m_members.size()); ++n) {
            it = it == m_members.end() ? m_members.begin() : it;
            m_lastAskedForSign = it->first;
            if (it->first != m_ownName.place) {
                ask(it->first);
            }
            ++it;
        }
    }

    void ask(const std::string &place)
    {
        Member &member = m_members[place];
        if (member.isAsked) {
            return;
        }
        member.isAsked = true;
        Http::Request request;
        request.target = MembershipPath;
        m_peers.send(member.endpoint, std::move(request), AskTimeout, [this, place](Http::Outcome outcome) {
            Member &asked = m_members[place];
            asked.isAsked = false;
            if (outcome.response) {
                asked.answeredAt = m_timers.now();
                m_silence.answered(asked.endpoint);
                asked.hasLostStore = outcome.response->status != 200;
                m_isolation.heardPeer(outcome.response->body, !asked.hasLostStore, m_timers.now());
            }
        });
    }

    void send(const RoutedPtr &routed)
    {
        const Base::Duration limit = routed->deadline - m_timers.now();
        if (m_host.owns(routed->request.shard)) {
            m_host.handle(routed->request,
                          bounded(limit, [this, routed](const JobReply &reply) { finish(routed, reply); }));
            return;
        }
        const auto it = m_owners.find(routed->request.shard);
        if (it == m_owners.end()) {
            finish(routed, {.status = JobReply::Status::NotOwner});
            return;
        }
        const Ini::Endpoint owner = it->second;
        if (isIsolated() || !m_silence.isToBeAsked(owner, m_timers.now())) {
            expectChange();
            finish(routed, refusal());
            return;
        }
        m_silence.sent(owner, m_timers.now());
        Http::Request forwarded;
        forwarded.method = "POST";
        forwarded.target = "/jobs";
        forwarded.body = encode(routed->request);
        const auto timeout = std::min(limit - m_settings.answerReserve, m_settings.peerTimeout);
        m_peers.send(owner, std::move(forwarded), timeout, [this, routed, owner](Http::Outcome outcome) {
            if (outcome.response) {
                m_silence.answered(owner);
            }
            finish(routed, fromPeer(outcome));
        });
    }

    // While a shard changes hands its next owner is known within some tenths of a second, sooner than a
    // caller that was refused would come back.
    void finish(const RoutedPtr &routed, const JobReply &reply)
    {
        if (reply.status == JobReply::Status::Elsewhere && !routed->request.isSentOn) {
            routed->request.isSentOn = true;
            routed->request.shard = reply.elsewhere;
            send(routed);
            return;
        }
        if (reply.status == JobReply::Status::Unknown && isRepeatable(routed->request)) {
            routed->mayHaveRun = true;
        }
        if (reply.status != JobReply::Status::NotOwner && isToRepeat(*routed, reply)) {
            m_timers.subscribeAfter(m_settings.repeatPause, [this, routed] { send(routed); });
            return;
        }
        if (reply.status != JobReply::Status::NotOwner) {
            conclude(*routed, reply);
            return;
        }
        expectChange();
        const Base::Instant now = m_timers.now();
        // Without the store this member can't learn of the next owner.
        const bool learnsOwners = now - m_lastOwnersRead < 2 * m_settings.ownersPeriod;
        if ((now >= routed->waitsUntil || !learnsOwners) && !isToRepeat(*routed, refusal())) {
            conclude(*routed, refusal());
            return;
        }
        m_timers.subscribeAfter(m_settings.ownerRetryPause, [this, routed] { send(routed); });
    }

    // The ID of a job makes a second attempt harmless: what the first one has stored decides.
    static bool isRepeatable(const JobRequest &request)
    {
        return request.operation == Operation::Submit || request.operation == Operation::Cancel
            || request.operation == Operation::State;
    }

    // Another attempt may be taken.
    static bool isRefusal(const JobReply &reply)
    {
        return reply.status == JobReply::Status::Refused || reply.status == JobReply::Status::NotOwner;
    }

    bool isToRepeat(const Routed &routed, const JobReply &reply) const
    {
        if (!isRepeatable(routed.request)) {
            return false;
        }
        if (!isRefusal(reply) && reply.status != JobReply::Status::Unknown) {
            return false;
        }
        const Base::Duration left = routed.deadline - m_timers.now() - m_settings.answerReserve;
        if (routed.mayHaveRun) {
            return repeatsUnanswered(left, m_settings.repeatPause);
        }
        return !isIsolated() && repeatsRefused(left, m_settings.repeatPause, reply.retryAfter);
    }

    // A later refusal, of whatever kind, doesn't take back what an earlier attempt may have done.
    static void conclude(const Routed &routed, const JobReply &reply)
    {
        const bool saysNotRun = isRefusal(reply) || reply.status == JobReply::Status::Hopeless;
        routed.reply(routed.mayHaveRun && saysNotRun ? JobReply{.status = JobReply::Status::Unknown} : reply);
    }

    static JobReply refusal()
    {
        return {.status = JobReply::Status::Refused, .retryAfter = std::chrono::milliseconds{500}};
    }

    JobReply fromPeer(const Http::Outcome &outcome)
    {
        if (!outcome.response) {
            expectChange();
            return outcome.verdict == Base::Verdict::NotRun ? refusal()
                                                            : JobReply{.status = JobReply::Status::Unknown};
        }
        const auto reply = decodeReply(outcome.response->body);
        if (reply && reply->status == JobReply::Status::Done) {
            m_isolation.heardStore(m_timers.now());
        }
        return reply ? *reply : JobReply{.status = JobReply::Status::Unknown};
    }

    Reply bounded(Base::Duration limit, Reply reply)
    {
        struct Once {
            Reply reply;
            bool isDone = false;
        };
        auto once = std::make_shared<Once>(Once{std::move(reply)});
        const auto timer = m_timers.subscribeAfter(limit - m_settings.answerReserve, [once] {
            if (!std::exchange(once->isDone, true)) {
                once->reply({.status = JobReply::Status::Unknown});
            }
        });
        return [this, once, timer](JobReply answer) {
            if (!std::exchange(once->isDone, true)) {
                m_timers.cancel(timer);
                once->reply(answer);
            }
        };
    }

    void expectChange()
    {
        const Base::Instant soon =
            std::max<Base::Instant>(m_timers.now(), m_ownersReadAt + m_settings.ownersPause);
        if (!m_isReading && (soon < m_nextRead)) {
            m_nextRead = soon;
            m_ownersTimer.armAt(soon, [this] { readOwners(); });
        }
    }

    void readOwners()
    {
        m_isReading = true;
        m_ownersReadAt = m_timers.now();
        m_platform.readOwners([this](std::optional<std::vector<ShardOwner>> owners) {
            if (owners) {
                m_lastOwnersRead = m_timers.now();
                takeOwners(*owners);
            } else if (askPeerForOwners()) {
                return;
            }
            ownersRead();
        });
    }

    void ownersRead()
    {
        m_isReading = false;
        m_nextRead = m_ownersReadAt + m_settings.ownersPeriod;
        m_ownersTimer.armAt(m_nextRead, [this] { readOwners(); });
    }

    void takeOwners(const std::vector<ShardOwner> &owners)
    {
        m_owners.clear();
        m_ownerNames.clear();
        for (const ShardOwner &it : owners) {
            noteMember(it.member);
            endIfPredecessor(it.member);
            const auto endpoint = Ini::toEndpoint(std::string_view(it.member).substr(0, it.member.find('/')));
            if (endpoint) {
                m_owners[it.shard] = *endpoint;
                m_ownerNames[it.shard] = it.member;
            }
        }
        m_whenOwnersRead(owners);
    }

    // The store may turn this member away while it serves the others; they are asked in turn.
    bool askPeerForOwners()
    {
        auto it = m_members.upper_bound(m_askedForOwners);
        if (it == m_members.end()) {
            it = m_members.begin();
        }
        if (it == m_members.end() || it->first == m_ownName.place) {
            m_askedForOwners = m_ownName.place;
            return false;
        }
        m_askedForOwners = it->first;
        Http::Request request;
        request.target = OwnersPath;
        m_peers.send(it->second.endpoint, std::move(request), AskTimeout, [this](Http::Outcome outcome) {
            if (outcome.response && outcome.response->status == 200) {
                m_isolation.heardStore(m_timers.now()); // through that peer
                takeOwners(parseOwners(outcome.response->body));
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

    // The process that this one took the place of keeps its shards until its membership lapses, unless the
    // store is told that it has ended.
    void endIfPredecessor(const std::string &member)
    {
        const MemberName name = memberNameFrom(member);
        if (name.place != m_ownName.place || name.start >= m_ownName.start || m_isEndingPredecessor) {
            return;
        }
        m_isEndingPredecessor = true;
        Base::LogLine(Base::LogLevel::Info, "predecessor-ended").with("member", member);
        m_platform.endMembership(member, [this] {
            m_isEndingPredecessor = false;
            expectChange();
        });
    }

    void noteMember(const std::string &name)
    {
        const MemberName known = memberNameFrom(name);
        const std::string_view place = known.place;
        const auto endpoint = Ini::toEndpoint(place.substr(0, place.find('/')));
        if (!endpoint) {
            return; // a shard without an owner
        }
        Member &member = m_members[known.place];
        member.place = known.place;
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
    std::map<std::string, Member> m_members; ///< by place
    Base::OneShotTimer m_ownersTimer;
    std::map<ShardNumber, Ini::Endpoint> m_owners;
    PeerSilence m_silence;
    std::map<ShardNumber, std::string> m_ownerNames;
    std::string m_lastAskedForSign; ///< the place of the member
    std::string m_askedForOwners; ///< the place of the member that was asked last
    Base::Instant m_ownersReadAt;
    Base::Instant m_nextRead;
    Base::Instant m_lastOwnersRead;
    OwnersRead m_whenOwnersRead;
    bool m_isReading = false;
    bool m_isEndingPredecessor = false;
};

} // namespace JobService
