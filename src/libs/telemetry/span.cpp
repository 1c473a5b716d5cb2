#include "span.h"

#include <utility>

namespace Telemetry
{

// The telemetry thread drains by the clock, so that a request costs no wake-up.
EventSink::EventSink(std::size_t capacity)
    : m_ring(capacity, [] {})
{
}

void EventSink::report(Event &&event)
{
    if (!m_ring.push(std::move(event))) {
        m_dropped.fetch_add(1, std::memory_order_relaxed);
    }
}

std::uint64_t EventSink::dropped() const
{
    return m_dropped.load(std::memory_order_relaxed);
}

} // namespace Telemetry
