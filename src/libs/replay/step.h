#pragma once

#include <fleet/entry.h>
#include <fleet/outcome.h>

#include <span>

namespace Replay
{

enum class Stream { Common, Zone };

/// The entries of the common stream and of one zone's stream, each in the order of its offsets.
struct Streams {
    std::span<const Fleet::Entry> common;
    std::span<const Fleet::Entry> zone;
};

/// One entry that was folded, and what became of it.
struct Step {
    Stream stream = Stream::Common;
    const Fleet::Entry &entry;
    Fleet::Outcome outcome;
    const Fleet::FleetState &state; ///< after it

    /// The event, if it is of this type and took effect; null otherwise.
    template<typename Event>
    const Event *applied() const
    {
        const Fleet::Record *record = entry.record();
        return record != nullptr && outcome.isApplied() ? std::get_if<Event>(&record->event) : nullptr;
    }
};

} // namespace Replay
