#include "digestbytes_p.h"

#include <boost/endian/conversion.hpp>

namespace Record::Internal
{

namespace
{

constexpr std::size_t HalfBytes = DigestBytes / 2;

void appendHalf(std::string &bytes, std::uint64_t half)
{
    unsigned char buf[HalfBytes];
    boost::endian::store_big_u64(buf, half);
    bytes.append(reinterpret_cast<const char *>(buf), HalfBytes);
}

std::uint64_t readHalf(std::string_view bytes)
{
    return boost::endian::load_big_u64(reinterpret_cast<const unsigned char *>(bytes.data()));
}

} // namespace

void appendDigest(std::string &bytes, const Fleet::RecordDigest &digest)
{
    appendHalf(bytes, digest.high);
    appendHalf(bytes, digest.low);
}

Fleet::RecordDigest readDigest(std::string_view bytes)
{
    return {readHalf(bytes), readHalf(bytes.substr(HalfBytes))};
}

} // namespace Record::Internal
