#include "fleetfollower.h"

#include <base/logline.h>
#include <fleet/streamnames.h>
#include <record/codec.h>

#include <utility>
#include <variant>

namespace Control
{

namespace
{

const Fleet::SnapshotTaken *snapshotIn(const Fleet::Entry &entry)
{
    const Fleet::Record *record = entry.record();
    return record ? std::get_if<Fleet::SnapshotTaken>(&record->event) : nullptr;
}

} // namespace

FleetFollower::FleetFollower(Platform::HttpPlatform &platform,
                             Base::TimerService &timers,
                             const Fleet::Charts &charts,
                             const Base::EnvironmentName &environment,
                             const Base::AvailabilityZoneName &zone,
                             Base::MemberName self,
                             std::uint64_t seed,
                             std::function<void()> onStateUpdated,
                             std::function<void()> onMembershipChanged)
    : m_charts(charts)
    , m_fold(charts, zone)
    , m_common(platform, timers, Fleet::commonStream(environment), {}, seed)
    , m_zone(platform, timers, Fleet::zoneStream(environment, zone), {}, seed + 1)
    , m_self(std::move(self))
    , m_onStateUpdated(std::move(onStateUpdated))
    , m_onMembershipChanged(std::move(onMembershipChanged))
{
}

void FleetFollower::start()
{
    followCommon(Platform::FirstOffset);
    followZone(Platform::FirstOffset);
}

const Fleet::FleetState &FleetFollower::state() const
{
    return m_fold.state();
}

const Fleet::Fold &FleetFollower::fold() const
{
    return m_fold;
}

bool FleetFollower::isCaughtUp() const
{
    return !m_isSearchingSnapshot && m_common.isCaughtUp() && m_zone.isCaughtUp()
        && m_pendingZoneEntries.empty();
}

bool FleetFollower::isReachable() const
{
    return m_common.isReachable() && m_zone.isReachable();
}

bool FleetFollower::isStalled() const
{
    return m_isSearchingSnapshot || !isReachable();
}

const std::string &FleetFollower::lastOwnRecordId() const
{
    return m_lastOwnRecordId;
}

Fleet::Offset FleetFollower::lastCommonSnapshot() const
{
    return m_lastCommonSnapshot;
}

Fleet::Offset FleetFollower::lastZoneSnapshot() const
{
    return m_lastZoneSnapshot;
}

Peering::PeerState FleetFollower::makePeerState(const Peering::PeerIdentity &self) const
{
    Fleet::Record record;
    record.event = Fleet::SnapshotTaken{m_fold.snapshot()};
    return {self, Record::encode(record), {m_commonTail.begin(), m_commonTail.end()}};
}

bool FleetFollower::adoptPeerState(const Peering::PeerState &peer)
{
    const Fleet::Entry entry = Record::decodeEntry({}, peer.snapshot);
    const auto *snapshot = snapshotIn(entry);
    if (!snapshot || snapshot->state.zone != state().zone) {
        return false;
    }
    const std::uint64_t commonEnd =
        peer.commonEntries.empty() ? snapshot->state.commonAppliedTo.value : peer.commonEntries.back().offset;
    const bool isAhead = commonEnd >= state().commonAppliedTo.value
        && snapshot->state.appliedTo >= state().appliedTo
        && (commonEnd > state().commonAppliedTo.value || snapshot->state.appliedTo > state().appliedTo);
    if (!isAhead) {
        return false;
    }
    restoreFrom(snapshot->state);
    for (const auto &it : peer.commonEntries) {
        applyCommon({it.offset}, it.data);
    }
    followCommon(state().commonAppliedTo.value + 1);
    followZone(state().appliedTo.value + 1);
    Base::LogLine(Base::LogLevel::Info, "state-from-peer")
        .with("peer", peer.from.member.value)
        .with("common_offset", state().commonAppliedTo.value)
        .with("zone_offset", state().appliedTo.value);
    return true;
}

void FleetFollower::followCommon(Platform::Offset from)
{
    m_common.start(from,
                   {[this](auto entries) { onCommonEntries(entries); },
                    [this](auto first) { onCommonTrimmed(first); },
                    [this](bool isReachable) {
                        onReachabilityChanged(isReachable);
                    }});
}

void FleetFollower::followZone(Platform::Offset from)
{
    m_zone.start(from,
                 {[this](auto entries) { onZoneEntries(entries); },
                  [this](auto first) { onZoneTrimmed(first); },
                  [this](bool isReachable) {
                      onReachabilityChanged(isReachable);
                  }});
}

void FleetFollower::onCommonEntries(std::span<const Platform::LogEntry> entries)
{
    for (const auto &it : entries) {
        applyCommon({it.offset}, it.data);
    }
    applyPendingZoneEntries();
    m_onStateUpdated();
}

void FleetFollower::onZoneEntries(std::span<const Platform::LogEntry> entries)
{
    if (m_isSearchingSnapshot) {
        restoreFromSnapshotIn(entries);
        return;
    }
    for (const auto &it : entries) {
        m_pendingZoneEntries.push_back(Record::decodeEntry({it.offset}, it.data));
    }
    applyPendingZoneEntries();
    m_onStateUpdated();
}

void FleetFollower::applyCommon(Fleet::Offset offset, std::string_view data)
{
    const Fleet::Entry entry = Record::decodeEntry(offset, data);
    const Fleet::Outcome outcome = m_fold.applyCommon(entry);
    logOutcome("common", entry, outcome);
    if (outcome.isApplied() && snapshotIn(entry)) {
        m_lastCommonSnapshot = offset;
    }
    m_commonTail.push_back({offset.value, std::string(data)});
    pruneCommonTail();
}

void FleetFollower::applyPendingZoneEntries()
{
    while (!m_pendingZoneEntries.empty()) {
        const Fleet::Entry &entry = m_pendingZoneEntries.front();
        const Fleet::Offset membership = state().membershipChangedAt;
        const Fleet::Outcome outcome = m_fold.applyZone(entry);
        if (outcome.kind == Fleet::OutcomeKind::NotYet) {
            return;
        }
        logOutcome("zone", entry, outcome);
        if (outcome.isApplied() && snapshotIn(entry)) {
            m_lastZoneSnapshot = entry.offset;
        }
        if (const Fleet::Record *record = entry.record(); record && record->author == m_self) {
            m_lastOwnRecordId = record->id;
        }
        m_pendingZoneEntries.pop_front();
        pruneCommonTail();
        if (state().membershipChangedAt != membership) {
            m_onMembershipChanged();
        }
    }
}

void FleetFollower::pruneCommonTail()
{
    while (!m_commonTail.empty() && m_commonTail.front().offset <= state().causalOffset.value) {
        m_commonTail.pop_front();
    }
}

// Folding cannot start in the middle of the common stream, so the zone's stream is searched for a snapshot
// that covers the dropped entries.
void FleetFollower::onCommonTrimmed(Platform::Offset first)
{
    Base::LogLine(Base::LogLevel::Warning, "log-trimmed-past").with("stream", "common").with("first", first);
    m_firstCommonOffset = first;
    m_isSearchingSnapshot = true;
    followZone(Platform::FirstOffset);
}

void FleetFollower::onZoneTrimmed(Platform::Offset first)
{
    Base::LogLine(Base::LogLevel::Warning, "log-trimmed-past").with("stream", "zone").with("first", first);
    m_isSearchingSnapshot = true;
    followZone(first);
}

// A snapshot covers entries only up to its recorded offsets, not up to its own offset: other members may have
// appended entries while it was being written. Following therefore resumes at the recorded offsets.
bool FleetFollower::restoreFromSnapshotIn(std::span<const Platform::LogEntry> entries)
{
    for (const auto &it : entries) {
        const Fleet::Entry entry = Record::decodeEntry({it.offset}, it.data);
        const auto *snapshot = snapshotIn(entry);
        if (!snapshot || snapshot->state.commonAppliedTo.value + 1 < m_firstCommonOffset) {
            continue;
        }
        restoreFrom(snapshot->state);
        Base::LogLine(Base::LogLevel::Info, "state-from-snapshot")
            .with("offset", it.offset)
            .with("common_offset", state().commonAppliedTo.value)
            .with("zone_offset", state().appliedTo.value);
        followCommon(state().commonAppliedTo.value + 1);
        followZone(state().appliedTo.value + 1);
        return true;
    }
    return false;
}

void FleetFollower::restoreFrom(Fleet::FleetState snapshot)
{
    m_isSearchingSnapshot = false;
    m_pendingZoneEntries.clear();
    m_commonTail.clear();
    m_fold = Fleet::Fold(m_charts, std::move(snapshot));
    m_onMembershipChanged();
}

void FleetFollower::onReachabilityChanged(bool isReachable)
{
    Base::LogLine(isReachable ? Base::LogLevel::Info : Base::LogLevel::Warning, "platform-log")
        .with("is_reachable", isReachable);
    m_onStateUpdated();
}

void FleetFollower::logOutcome(std::string_view stream,
                               const Fleet::Entry &entry,
                               const Fleet::Outcome &outcome)
{
    const bool isExpected = outcome.isApplied() || outcome.kind == Fleet::OutcomeKind::Duplicate;
    Base::LogLine line(isExpected ? Base::LogLevel::Debug : Base::LogLevel::Warning, "record");
    line.with("stream", stream).with("offset", entry.offset.value).with("outcome", toString(outcome.kind));
    if (outcome.kind == Fleet::OutcomeKind::Refused) {
        line.with("refusal", toString(outcome.refusal));
    }
}

} // namespace Control
