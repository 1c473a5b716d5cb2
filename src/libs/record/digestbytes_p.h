#pragma once

#include <fleet/recordwindow.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace Record::Internal
{

constexpr std::size_t DigestBytes = 16;

/// Appends a digest as 16 bytes, the highest first.
void appendDigest(std::string &bytes, const Fleet::RecordDigest &digest);

/// The digest at the start of `bytes`, which holds at least 16 of them.
Fleet::RecordDigest readDigest(std::string_view bytes);

} // namespace Record::Internal
