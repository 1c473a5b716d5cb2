#pragma once

#include "platformsession.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Commands
{

/// Asks entry instances for their /status pages, all at once. Nothing for one whose whole answer did not come
/// within `timeout`, or makes no sense.
std::vector<std::optional<EntryStatus>> fetchStatuses(std::span<const std::string> addresses,
                                                      Base::Duration timeout);

/// Reads a /status page; nothing when it is none.
std::optional<EntryStatus> parseStatus(std::string_view page);

} // namespace Commands
