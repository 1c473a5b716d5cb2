#pragma once

#include <boost/crc.hpp>

#include <cstdint>
#include <string_view>

namespace JobService
{

/// CRC-32 (ISO/IEC 13239), the same in all builds.
inline std::uint32_t checksum(std::string_view text)
{
    boost::crc_32_type crc;
    crc.process_bytes(text.data(), text.size());
    return crc.checksum();
}

} // namespace JobService
