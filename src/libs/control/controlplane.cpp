#include "controlplane.h"

#include "fleetfollower.h"
#include "observer.h"
#include "peermonitor.h"
#include "plannerrunner.h"
#include "recordappender.h"
#include "routingbuilder.h"

#include <base/logline.h>
#include <boost/leaf/handle_errors.hpp>
#include <fleet/charts.h>
#include <fleet/streamnames.h>
#include <peering/peerserver.h>
#include <platform/httpplatform.h>
#include <runtime/eventloopthread.h>

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <random>
#include <set>
#include <stdexcept>
#include <utility>

namespace Control
{

namespace
{

constexpr Base::Duration TickPeriod = std::chrono::milliseconds{200};
constexpr Base::Duration LeaveTimeout = std::chrono::seconds{2};
constexpr Base::Duration PeerStartDelay = std::chrono::seconds{1};
constexpr int MinLeaseTimeoutPeriods = 4;
constexpr std::uint64_t RecordsPerSnapshot = 2000;
constexpr std::uint64_t CommonEntriesPerObservation = 256;

Fleet::Charts loadCharts(const std::string &folder)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<Fleet::Charts> { return Fleet::Charts::load(folder); },
        [&]() -> Fleet::Charts {
            throw std::runtime_error("state charts in " + folder + " cannot be loaded");
        });
}

Fleet::PlatformState platformState(Platform::InstanceState state)
{
    switch (state) {
    case Platform::InstanceState::Live:
        return Fleet::PlatformState::Live;
    case Platform::InstanceState::Leaving:
        return Fleet::PlatformState::Leaving;
    case Platform::InstanceState::Gone:
        return Fleet::PlatformState::Gone;
    }
    return Fleet::PlatformState::Gone;
}

// A restarted daemon needs a new member name: its predecessor may have left operations incomplete.
Base::MemberName newMemberName(const std::string &instance)
{
    std::random_device device;
    return {fmt::format("{}.{:08x}", instance, device())};
}

} // namespace

class ControlPlane::Private
{
public:
    Private(Runtime::EventLoopThread &eventLoop, ControlSettings settings, RequestPlanePort requestPlane)
        : m_eventLoop(eventLoop)
        , m_settings(std::move(settings))
        , m_requestPlane(std::move(requestPlane))
        , m_member(newMemberName(m_settings.instance))
        , m_charts(loadCharts(m_settings.chartsFolder))
        , m_platform(eventLoop.context(), eventLoop.timers(), m_settings.platform)
        , m_follower(
              m_platform,
              eventLoop.timers(),
              m_charts,
              m_settings.environment,
              m_settings.zone,
              m_member,
              m_settings.seed,
              [this] { onStateUpdated(); },
              [this] { onMembershipChanged(); })
        , m_appender(
              m_platform, eventLoop.timers(), Fleet::zoneStream(m_settings.environment, m_settings.zone))
        , m_commonAppender(m_platform, eventLoop.timers(), Fleet::commonStream(m_settings.environment))
        , m_peers(identity(),
                  m_settings.instance,
                  eventLoop.timers(),
                  m_settings.plannerPeriod,
                  [&eventLoop](std::function<void()> task) { eventLoop.post(std::move(task)); })
        , m_planner(m_platform, m_member, m_settings.zone, [this](Fleet::Event event, Fleet::Offset term) {
            append(std::move(event), term);
        })
    {
        publishStatus();
        if (!m_settings.peersAddress.empty()) {
            m_peerServer =
                std::make_unique<Peering::PeerServer>(m_settings.peersAddress, identity(), providers());
        }
    }

    void start()
    {
        m_startTime = now();
        m_follower.start();
        m_eventLoop.timers().subscribeEvery(TickPeriod, [this] { onTick(); });
        m_eventLoop.timers().subscribeEvery(m_settings.listPeriod, [this] { listInstances(); });
        m_eventLoop.timers().subscribeEvery(m_settings.plannerPeriod, [this] { observeAndPlan(); });
        listInstances();
    }

    void leave(std::function<void()> done)
    {
        m_isLeaving = true;
        append(Fleet::MemberLeft{m_member, "shutdown"});
        m_eventLoop.timers().subscribeEvery(
            TickPeriod, [this, done, deadline = now() + LeaveTimeout]() mutable {
                if (done && (m_appender.pending() == 0 || now() >= deadline)) {
                    std::exchange(done, nullptr)();
                }
            });
    }

    void sendSlotMessages(const std::vector<Scheduling::OutgoingSlotMessage> &messages)
    {
        for (const auto &it : messages) {
            m_peers.sendSlotMessage(it);
        }
    }

    void stopPeerServer()
    {
        m_peerServer.reset();
    }

    Runtime::EventLoopThread &m_eventLoop;
    std::atomic<std::shared_ptr<const ControlStatus>> m_status;

private:
    Peering::PeerIdentity identity() const
    {
        return {m_settings.environment, m_settings.zone, m_member, m_settings.peersAddress};
    }

    // Called on gRPC threads; responses are built on the control thread.
    Peering::PeerServer::Providers providers()
    {
        return {[this](std::function<void(Peering::PeerReport)> callback) {
                    m_eventLoop.post([this, callback = std::move(callback)] { callback(ownReport()); });
                },
                [this](std::function<void(Peering::PeerState)> callback) {
                    m_eventLoop.post([this, callback = std::move(callback)] { callback(ownState()); });
                },
                [this](const Peering::PeerIdentity &from, Scheduling::SlotMessage message) {
                    m_eventLoop.post([this, from] { m_peers.storeSenderAddress(from); });
                    m_requestPlane.receiveSlotMessage(std::move(message));
                }};
    }

    Peering::PeerReport ownReport() const
    {
        return {identity(),
                state().commonAppliedTo.value,
                state().appliedTo.value,
                state().documentOffset.value,
                m_ownLoad.demands,
                m_ownLoad.instances};
    }

    Peering::PeerState ownState() const
    {
        return m_follower.makePeerState(identity());
    }

    void observeAndPlan()
    {
        m_peers.requestReports();
        m_requestPlane.queryLoad([this](RequestPlaneLoad load) {
            m_ownLoad = std::move(load);
            plan();
        });
    }

    // Runs only after all earlier decisions have been folded, not merely appended, so that each decision is
    // based on the state that results from the earlier ones.
    void plan()
    {
        const bool isMember = state().members.contains(m_member);
        const bool areOwnRecordsFolded =
            m_appender.pending() == 0 && m_follower.lastOwnRecordId() == m_lastZoneRecordId;
        if (!m_isReady || m_isLeaving || !isMember || !areOwnRecordsFolded) {
            return;
        }
        const ObservationSources sources{now(),
                                         m_isListFresh && m_follower.isReachable(),
                                         m_peers,
                                         m_ownLoad,
                                         m_platformStates,
                                         m_planner.actionReports()};
        const auto observations = observe(state(), sources);
        m_planner.runPass(state(), observations, m_peers.unresponsiveMembers(state(), leaseTimeout()));
        limitLogReplay(observations);
    }

    // Members are polled once per planner period. The lower bound prevents a short lease from marking a
    // member as unresponsive before its next poll.
    Base::Duration leaseTimeout() const
    {
        return std::max(m_settings.plannerLease, MinLeaseTimeoutPeriods * m_settings.plannerPeriod);
    }

    // Limits how many log entries a starting member has to read and keep in memory. The zone's planner
    // records up to which offset the zone has applied the common stream, and writes snapshots before the log
    // drops the entries that they replace. Only the first zone writes snapshots to the common stream.
    void limitLogReplay(const Fleet::Observations &observations)
    {
        const auto lease = state().planners.find(m_settings.zone);
        if (lease == state().planners.end() || lease->second.holder != m_member || m_appender.pending() > 0) {
            return;
        }
        const Fleet::Offset term = lease->second.term;
        if (state().commonAppliedTo.value - state().causalOffset.value >= CommonEntriesPerObservation) {
            append(Fleet::PlannerObserved{observations, state().appliedTo, {}}, term);
        } else if (state().appliedTo.value - m_follower.lastZoneSnapshot().value >= RecordsPerSnapshot) {
            append(Fleet::SnapshotTaken{m_follower.fold().snapshot()}, term);
        }
        const bool isFirstZone =
            !state().document.zones.empty() && state().document.zones.front() == m_settings.zone;
        const auto entriesSinceCommonSnapshot =
            state().commonAppliedTo.value - m_follower.lastCommonSnapshot().value;
        if (isFirstZone && entriesSinceCommonSnapshot >= RecordsPerSnapshot
            && m_commonAppender.pending() == 0) {
            appendTo(m_commonAppender, Fleet::SnapshotTaken{m_follower.fold().snapshot()}, {});
        }
    }

    Base::Instant now() const
    {
        return m_eventLoop.timers().now();
    }

    const Fleet::FleetState &state() const
    {
        return m_follower.state();
    }

    void onMembershipChanged()
    {
        Scheduling::MembershipEpoch epoch;
        epoch.number = {state().membershipChangedAt.value};
        for (const auto &[name, it] : state().members) {
            epoch.members.push_back({name, it.zone});
        }
        m_requestPlane.setEpoch(std::move(epoch));
    }

    void onStateUpdated()
    {
        updateRouting();
        if (!m_hasJoined && m_follower.isCaughtUp()) {
            m_hasJoined = true;
            append(Fleet::MemberJoined{m_member, m_settings.zone});
        }
        rejoinIfRemoved();
        if (!m_isReady && m_hasJoined && state().members.contains(m_member)) {
            becomeReady();
        }
        publishStatus();
    }

    // A member that was removed because it was frozen or cut off from the platform has to join again. Until
    // then drains do not wait for it, so it sends no requests to targets.
    void rejoinIfRemoved()
    {
        const bool isMember = state().members.contains(m_member);
        if (isMember) {
            m_wasMember = true;
        } else if (m_wasMember && !m_isLeaving && m_follower.isCaughtUp()) {
            m_wasMember = false;
            Base::LogLine(Base::LogLevel::Warning, "no-longer-a-member").with("member", m_member.value);
            append(Fleet::MemberJoined{m_member, m_settings.zone});
        }
    }

    // Called only once this instance is a member or runs on a peer's state: a drain is complete when every
    // member has acknowledged it, so an entry instance that is not yet a member must not send requests.
    void becomeReady()
    {
        m_isReady = true;
        Base::LogLine(Base::LogLevel::Info, "ready")
            .with("member", m_member.value)
            .with("document_offset", state().documentOffset.value);
    }

    // While the log is unavailable, no member can join and no decision can be made. Serving from a peer's
    // folded state is then safe, and is the only way to serve requests.
    void startFromPeerState()
    {
        if (m_isReady || !m_follower.isStalled() || now() - m_startTime < PeerStartDelay) {
            return;
        }
        m_peers.requestStates([this](const Peering::PeerState &peerState) {
            if (m_isReady || !m_follower.adoptPeerState(peerState)) {
                return;
            }
            updateRouting();
            becomeReady();
            publishStatus();
        });
    }

    void updateRouting()
    {
        auto table = buildRoutingTable(state(), m_leavingInstances);
        const bool isSame =
            m_table && m_table->services() == table->services() && m_table->targets() == table->targets();
        if (isSame) {
            return;
        }
        m_table = std::move(table);
        m_requestPlane.setRouting(m_table);
        Base::LogLine(Base::LogLevel::Info, "routing-in-force")
            .with("document_offset", state().documentOffset.value)
            .with("zone_offset", state().appliedTo.value)
            .with("targets", m_table->targets().size());
    }

    void onTick()
    {
        if (!m_isReady) {
            onStateUpdated();
            startFromPeerState();
        }
        if (!m_isListedByPlatform) {
            listInstances();
        }
        acknowledgeDrains();
        publishStatus();
    }

    // Acknowledges a drain once this entry instance has no requests in flight on the draining instance. The
    // request plane replies only after the routing table that stops new requests is active.
    void acknowledgeDrains()
    {
        std::vector<Fleet::ActionId> actions;
        std::vector<Base::InstanceName> instances;
        const auto add = [&](const auto &open) {
            for (const auto &[id, it] : open) {
                const auto instance = state().instances.find(it.instance);
                const bool isDraining = instance != state().instances.end()
                    && instance->second.phase == Fleet::InstancePhase::Draining;
                if (isDraining && !it.acknowledgedBy.contains(m_member)
                    && !m_acknowledgedActions.contains(id)) {
                    actions.push_back(id);
                    instances.push_back(it.instance);
                }
            }
        };
        add(state().moves);
        add(state().maintenances);
        if (actions.empty() || m_isInFlightQueryPending || !state().members.contains(m_member)) {
            return;
        }
        m_isInFlightQueryPending = true;
        m_requestPlane.queryInFlight(instances, [this, actions](const std::vector<std::uint32_t> &inFlight) {
            m_isInFlightQueryPending = false;
            for (std::size_t n = 0; n < actions.size(); ++n) {
                if (inFlight[n] == 0) {
                    m_acknowledgedActions.insert(actions[n]);
                    append(Fleet::DrainAcknowledged{actions[n], m_member});
                }
            }
        });
    }

    void listInstances()
    {
        if (m_isListRequestPending) {
            return;
        }
        m_isListRequestPending = true;
        m_platform.listInstances([this](const Platform::ListOutcome &outcome) {
            m_isListRequestPending = false;
            m_isListFresh = std::holds_alternative<std::vector<Platform::ListedInstance>>(outcome);
            if (const auto *list = std::get_if<std::vector<Platform::ListedInstance>>(&outcome)) {
                onList(*list);
            }
        });
    }

    // While the platform is unreachable, the last known list stays in use.
    void onList(const std::vector<Platform::ListedInstance> &list)
    {
        m_peers.setInstanceList(list);
        m_isListedByPlatform =
            m_isListedByPlatform || std::any_of(list.begin(), list.end(), [this](const auto &it) {
                return it.name == m_settings.instance;
            });
        m_platformStates.clear();
        std::set<Base::InstanceName> leaving;
        for (const auto &it : list) {
            if (it.kind != Platform::InstanceKind::Target) {
                continue;
            }
            m_platformStates[{it.name}] = platformState(it.state);
            if (it.state != Platform::InstanceState::Live) {
                leaving.insert({it.name});
            }
        }
        if (leaving != m_leavingInstances) {
            m_leavingInstances = std::move(leaving);
            updateRouting();
        }
    }

    void append(Fleet::Event event, Fleet::Offset term = {})
    {
        m_lastZoneRecordId = appendTo(m_appender, std::move(event), term);
    }

    /// Returns the ID of the appended record.
    std::string appendTo(RecordAppender &appender, Fleet::Event event, Fleet::Offset term)
    {
        Fleet::Record record;
        record.id = fmt::format("{}-{}", m_member.value, ++m_lastRecordNumber);
        record.author = m_member;
        record.term = term;
        record.documentOffset = state().commonAppliedTo;
        record.event = std::move(event);
        appender.append(record);
        return record.id;
    }

    void publishStatus()
    {
        auto status = std::make_shared<ControlStatus>();
        status->member = m_member;
        status->isReady = m_isReady;
        status->isPlatformReachable = m_follower.isReachable();
        status->commonAppliedTo = state().commonAppliedTo.value;
        status->zoneAppliedTo = state().appliedTo.value;
        status->documentOffset = state().documentOffset.value;
        status->instances = state().instances.size();
        for (const auto &[name, it] : state().instances) {
            status->drainingInstances += it.phase == Fleet::InstancePhase::Serving ? 0 : 1;
        }
        status->openMoves = state().moves.size();
        if (const auto it = state().planners.find(m_settings.zone); it != state().planners.end()) {
            status->planner = it->second.holder.value;
        }
        status->pendingAppends = m_appender.pending();
        m_status.store(std::move(status));
    }

    ControlSettings m_settings;
    RequestPlanePort m_requestPlane;
    Base::MemberName m_member;
    Fleet::Charts m_charts;
    Platform::HttpPlatform m_platform;
    FleetFollower m_follower;
    RecordAppender m_appender;
    RecordAppender m_commonAppender;
    std::shared_ptr<const Gateway::RoutingTable> m_table;
    std::set<Base::InstanceName> m_leavingInstances;
    std::set<Fleet::ActionId> m_acknowledgedActions;
    std::uint64_t m_lastRecordNumber = 0;
    std::string m_lastZoneRecordId;
    PeerMonitor m_peers;
    PlannerRunner m_planner;
    std::unique_ptr<Peering::PeerServer> m_peerServer;
    RequestPlaneLoad m_ownLoad;
    std::map<Base::InstanceName, Fleet::PlatformState> m_platformStates;
    bool m_isListFresh = false;
    bool m_isListedByPlatform =
        false; ///< once the platform lists this entry instance, the list is polled at `listPeriod` only
    bool m_isLeaving = false;
    Base::Instant m_startTime;
    bool m_hasJoined = false;
    bool m_wasMember = false;
    bool m_isReady = false;
    bool m_isInFlightQueryPending = false;
    bool m_isListRequestPending = false;
};

ControlPlane::ControlPlane(Runtime::EventLoopThread &eventLoop,
                           ControlSettings settings,
                           RequestPlanePort requestPlane)
    : d(std::make_unique<Private>(eventLoop, std::move(settings), std::move(requestPlane)))
{
}

// Calls from peers wait for the control thread, so the peer server must be stopped with stopPeerServer()
// while that thread still runs.
ControlPlane::~ControlPlane() = default;

void ControlPlane::sendSlotMessages(std::vector<Scheduling::OutgoingSlotMessage> messages)
{
    d->m_eventLoop.post([this, messages = std::move(messages)] { d->sendSlotMessages(messages); });
}

void ControlPlane::stopPeerServer()
{
    d->stopPeerServer();
}

void ControlPlane::start()
{
    d->m_eventLoop.post([this] { d->start(); });
}

void ControlPlane::leave(std::function<void()> done)
{
    d->m_eventLoop.post([this, done = std::move(done)]() mutable { d->leave(std::move(done)); });
}

std::shared_ptr<const ControlStatus> ControlPlane::status() const
{
    return d->m_status.load();
}

} // namespace Control
