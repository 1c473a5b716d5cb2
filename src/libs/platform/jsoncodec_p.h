#pragma once

#include "messages.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Platform::Internal
{

std::string toString(ActionKind kind);

std::string encodeAppend(std::span<const LogRecord> records);
std::string encodeTrim(Offset before);
std::string encodeAction(const InstanceAction &action);

// Each is nothing when the body isn't what the protocol says.
std::optional<Appended> decodeAppended(std::string_view body);
std::optional<ReadEntries> decodeEntries(std::string_view body);
std::optional<Offset> decodeFirst(std::string_view body);
std::optional<std::vector<ListedInstance>> decodeInstances(std::string_view body);

/// The server's words on a refusal, cut to a line's length.
std::string decodeReason(std::string_view body);

} // namespace Platform::Internal
