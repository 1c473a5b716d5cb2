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

/// Follows an environment's common stream and the stream of one zone, and folds both into the fleet state. If
/// the log has dropped its first entries, folding starts from a snapshot in the zone's stream or from the
/// state of a peer.
class FleetFollower
{
public:
    /// `onStateUpdated` is called after each batch of entries and whenever the reachability of the log
    /// changes; `onMembershipChanged` is called after each record that changes the set of members.
    FleetFollower(Platform::HttpPlatform &platform,
                  Base::TimerService &timers,
                  const Fleet::Charts &charts,
                  const Base::EnvironmentName &environment,
                  const Base::AvailabilityZoneName &zone,
                  Base::MemberName self,
                  std::uint64_t seed,
                  std::function<void()> onStateUpdated,
                  std::function<void()> onMembershipChanged);

    void start();

    const Fleet::FleetState &state() const;
    const Fleet::Fold &fold() const;

    /// All entries that the log contained when it was last read are folded.
    bool isCaughtUp() const;
    bool isReachable() const;

    /// No entry can be folded for now: the log is unreachable or has dropped the next entry.
    bool isStalled() const;

    /// ID of the last folded record in the zone's stream that was written by this member.
    const std::string &lastOwnRecordId() const;

    /// Offset of the last snapshot applied from each stream; 0 if none.
    Fleet::Offset lastCommonSnapshot() const;
    Fleet::Offset lastZoneSnapshot() const;

    /// The folded state of this member, for a peer that cannot read the log.
    Peering::PeerState makePeerState(const Peering::PeerIdentity &self) const;

    /// Continues from a peer's state if it is behind the own state in neither stream and ahead in at least
    /// one. Returns false if it is not, or if it is damaged. The own state is never replaced by an older one.
    bool adoptPeerState(const Peering::PeerState &peer);

private:
    using Follower = Platform::StreamFollower<Platform::HttpPlatform>;

    void followCommon(Platform::Offset from);
    void followZone(Platform::Offset from);
    void onCommonEntries(std::span<const Platform::LogEntry> entries);
    void onZoneEntries(std::span<const Platform::LogEntry> entries);
    void applyCommon(Fleet::Offset offset, std::string_view data);
    void applyPendingZoneEntries();
    void pruneCommonTail();
    void onCommonTrimmed(Platform::Offset first);
    void onZoneTrimmed(Platform::Offset first);
    bool restoreFromSnapshotIn(std::span<const Platform::LogEntry> entries);
    void restoreFrom(Fleet::FleetState snapshot);
    void onReachabilityChanged(bool isReachable);
    void logOutcome(std::string_view stream, const Fleet::Entry &entry, const Fleet::Outcome &outcome);

    const Fleet::Charts &m_charts;
    Fleet::Fold m_fold;
    Follower m_common;
    Follower m_zone;
    Base::MemberName m_self;
    std::string m_lastOwnRecordId;
    std::function<void()> m_onStateUpdated;
    std::function<void()> m_onMembershipChanged;
    std::deque<Fleet::Entry> m_pendingZoneEntries;
    std::deque<Peering::PeerEntry>
        m_commonTail; ///< common entries that a snapshot of the fold does not cover
    Platform::Offset m_firstCommonOffset =
        Platform::FirstOffset; ///< offset of the oldest entry still in the common stream
    bool m_isSearchingSnapshot = false;
    Fleet::Offset m_lastCommonSnapshot;
    Fleet::Offset m_lastZoneSnapshot;
};

} // namespace Control
