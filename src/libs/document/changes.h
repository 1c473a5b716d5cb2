#pragma once

#include "document.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Document
{

/// One key of one section that two documents don't agree on.
struct Change {
    std::string section;
    std::string key; ///< empty: the whole section was added or removed
    std::optional<std::string> from; ///< nothing: not there before
    std::optional<std::string> to; ///< nothing: not there any more

    bool operator==(const Change &) const = default;
};

/// What an operator would see changed, in the order in which documents are printed. A section that was added
/// or removed is one change, its text the whole section's.
std::vector<Change> changes(const Document &from, const Document &to);

/// One line for each change: "+ section", "- section" or "~ section.key: from -> to".
std::string toString(std::span<const Change> changes);

/// The changes of `mine` that touch what `theirs` touch as well: the same key, or a key of a section that the
/// other added or removed.
std::vector<Change> overlapping(std::span<const Change> mine, std::span<const Change> theirs);

} // namespace Document
