#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace Platform
{

/// A position in a stream of the log. The first record is at 1.
using Offset = std::uint64_t;

inline constexpr Offset FirstOffset = 1;

/// A record to append. `id` is its author's, unique over all streams; `data` is opaque bytes.
struct LogRecord {
    std::string id;
    std::string data;

    bool operator==(const LogRecord &) const = default;
};

/// A record as the log keeps it. The platform may keep one id twice: readers count the first one.
struct LogEntry {
    Offset offset = 0;
    std::string id;
    std::string data;

    bool operator==(const LogEntry &) const = default;
};

/// The records are in the log, at these offsets, in the order asked for.
struct Appended {
    std::vector<Offset> offsets;
};
/// The answer was lost or makes no sense: some or all records may be in the log, or may yet get there.
struct AppendUnknown {
};
/// Proven not taken: not one byte of the request was sent, or the platform said that it is over its limit.
struct AppendUnavailable {
};
/// The platform refused the records as such; the same request would be refused again.
struct AppendRejected {
    std::string reason;
};
using AppendOutcome = std::variant<Appended, AppendUnknown, AppendUnavailable, AppendRejected>;
using AppendCallback = std::function<void(AppendOutcome)>;

struct ReadRequest {
    std::string stream;
    Offset from = FirstOffset; ///< the first offset wanted
    std::uint32_t maxRecords = 1000;
    std::uint32_t waitMilliseconds = 0; ///< how long the platform may hold the answer when nothing is there
};

/// Entries from the asked offset on, without gaps; empty when there are none (yet).
struct ReadEntries {
    std::vector<LogEntry> entries;
    Offset first = FirstOffset; ///< the oldest record kept
    Offset end = FirstOffset; ///< the offset that the next record will get
};
/// The asked offset is no longer kept.
struct TrimmedPast {
    Offset first = FirstOffset;
};
struct ReadUnavailable {
};
using ReadOutcome = std::variant<ReadEntries, TrimmedPast, ReadUnavailable>;
using ReadCallback = std::function<void(ReadOutcome)>;

struct Trimmed {
    Offset first = FirstOffset;
};
struct TrimUnavailable {
};
using TrimOutcome = std::variant<Trimmed, TrimUnavailable>;
using TrimCallback = std::function<void(TrimOutcome)>;

enum class InstanceKind { Entry, Target };
enum class InstanceState { Live, Leaving, Gone };

/// An instance as the platform's lagging list has it. Addresses are "IP:port", empty where it has none.
struct ListedInstance {
    std::string name;
    InstanceKind kind = InstanceKind::Target;
    std::string zone;
    std::string rack;
    InstanceState state = InstanceState::Live;
    std::string callersAddress;
    std::string operatorsAddress;
    std::string peersAddress;

    bool operator==(const ListedInstance &) const = default;
};

struct ListUnavailable {
};
using ListOutcome = std::variant<std::vector<ListedInstance>, ListUnavailable>;
using ListCallback = std::function<void(ListOutcome)>;

enum class ActionKind { Drain, Reboot, Checkpoint, Throttle, Stop };

/// `actionId` makes a repeat the same action, so that an unknown outcome is resolved by repeating it.
struct InstanceAction {
    std::string actionId;
    ActionKind kind = ActionKind::Drain;
    std::string instance;
};

struct ActionAccepted {
};
/// The answer was lost: the action may have been taken.
struct ActionUnknown {
};
/// Proven not taken.
struct ActionUnavailable {
};
struct ActionRejected {
    std::string reason;
};
using ActionOutcome = std::variant<ActionAccepted, ActionUnknown, ActionUnavailable, ActionRejected>;
using ActionCallback = std::function<void(ActionOutcome)>;

} // namespace Platform
