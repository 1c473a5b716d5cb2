#pragma once

// Boost has no forwarding header of its own for this, and the whole one costs seconds in every file.
// NOLINTNEXTLINE(readability-identifier-naming)
namespace boost::asio
{
class io_context;
}
