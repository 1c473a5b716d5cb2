#pragma once

#include <base/timerservice.h>
#include <fleet/charts.h>
#include <fleet/entry.h>
#include <fleet/fold.h>
#include <peering/peerreport.h>
#include <platform/httpplatform.h>
#include <platform/streamfollower.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Control
{

/// Follows an environment's common stream and one zone's, and folds them. Where the log has dropped the
/// beginning, it starts from a snapshot in the zone's stream or from what a peer has folded.
class FleetFollower
{
public:
    /// `onFolded` is called after each batch of entries, and when the log becomes reachable or not;
    /// `onMembership` after each record that changes the members.
    FleetFollower(Platform::HttpPlatform &platform,
                  Base::TimerService &timers,
                  const Fleet::Charts &charts,
                  const Base::EnvironmentName &environment,
                  const Base::AvailabilityZoneName &zone,
                  Base::MemberName self,
                  std::uint64_t seed,
                  std::function<void()> onFolded,
                  std::function<void()> onMembership);

    void start();

    const Fleet::FleetState &state() const;
    const Fleet::Fold &fold() const;

    /// Everything that was in the log when it was last read is folded.
    bool isCaughtUp() const;
    bool isReachable() const;

    /// Nothing can be folded for now: the log is out, or has dropped what would be next.
    bool isStuck() const;

    /// The id of the last folded record of the zone's stream whose author is this member.
    const std::string &lastOwnRecord() const;

    /// Offsets of the last snapshots seen in each stream; 0 for none.
    Fleet::Offset lastCommonSnapshot() const;
    Fleet::Offset lastZoneSnapshot() const;

    /// What this member has folded, for one that can't read the log.
    Peering::PeerState offer(const Peering::PeerIdentity &self) const;

    /// Goes on from a peer's state if that is ahead of the own one in both streams; false when it isn't, or
    /// is damaged. An own state is never exchanged for an older one.
    bool adopt(const Peering::PeerState &offered);

private:
    using Follower = Platform::StreamFollower<Platform::HttpPlatform>;

    void followCommon(Platform::Offset from);
    void followZone(Platform::Offset from);
    void onCommonEntries(std::span<const Platform::LogEntry> entries);
    void onZoneEntries(std::span<const Platform::LogEntry> entries);
    void applyCommon(Fleet::Offset offset, std::string_view data);
    void applyWaitingZoneEntries();
    void pruneCommonTail();
    void onCommonTrimmed(Platform::Offset first);
    void onZoneTrimmed(Platform::Offset first);
    bool startFromSnapshotIn(std::span<const Platform::LogEntry> entries);
    void startFrom(Fleet::FleetState snapshot);
    void onReachable(bool isReachable);
    void report(std::string_view stream, const Fleet::Entry &entry, const Fleet::Outcome &outcome);

    const Fleet::Charts &m_charts;
    Fleet::Fold m_fold;
    Follower m_common;
    Follower m_zone;
    Base::MemberName m_self;
    std::string m_lastOwnRecord;
    std::function<void()> m_onFolded;
    std::function<void()> m_onMembership;
    std::deque<Fleet::Entry> m_waitingZoneEntries;
    std::deque<Peering::PeerEntry> m_commonTail; ///< entries that a snapshot of the fold doesn't cover
    Platform::Offset m_firstCommon = Platform::FirstOffset; ///< the oldest kept
    bool m_isSearchingSnapshot = false;
    Fleet::Offset m_lastCommonSnapshot;
    Fleet::Offset m_lastZoneSnapshot;
};

} // namespace Control
