#pragma once

#include "command.h"

#include <document/changes.h>

#include <span>
#include <string>

namespace Commands
{

/// Compares two documents key by key, whatever the order and the comments of their text.
Report diff(const std::string &from, const std::string &to);

/// The changes as an array of section, key, from and to.
boost::json::array toJson(std::span<const Document::Change> changes);

Command diffCommand();

} // namespace Commands
