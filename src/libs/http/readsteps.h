#pragma once

#include <boost/beast/core/flat_buffer.hpp>

#include <algorithm>
#include <cstddef>

namespace Http
{

// A new buffer makes Beast read 512 bytes at a time, each of which waits for its turn in the event loop.
constexpr std::size_t MinReadStep = 4U << 10U;
constexpr std::size_t MaxReadStep = 64U << 10U;

/// Gives the buffer room to read the rest of the parser's body in large steps.
template<typename Parser>
void growForBody(boost::beast::flat_buffer &buffer, const Parser &parser)
{
    if (!parser.is_header_done()) {
        return; // the length isn't known, and Beast's parser must not be asked for it
    }
    if (const auto left = parser.content_length_remaining()) {
        buffer.reserve(std::clamp<std::size_t>(*left, MinReadStep, MaxReadStep));
    }
}

/// Frees what a large body needed.
inline void shrinkAfterBody(boost::beast::flat_buffer &buffer)
{
    if (buffer.size() == 0 && buffer.capacity() > MinReadStep) {
        buffer.shrink_to_fit();
        buffer.reserve(MinReadStep);
    }
}

} // namespace Http
