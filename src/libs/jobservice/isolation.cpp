#include "isolation.h"

#include <algorithm>
#include <utility>

namespace JobService
{

Isolation::Isolation(std::string ownZone, Base::Duration probeAfter, Base::Duration timeout)
    : m_ownZone(std::move(ownZone))
    , m_probeThreshold(probeAfter)
    , m_timeout(timeout)
{
}

void Isolation::storeAnswered(Base::Instant at)
{
    m_lastContact = std::max(m_lastContact, at);
}

void Isolation::peerAnswered(std::string_view zone, bool hasStore, Base::Instant now)
{
    if (hasStore || zone != m_ownZone) {
        m_lastContact = std::max(m_lastContact, now);
    }
}

bool Isolation::needsProbe(Base::Instant now) const
{
    return now - m_lastContact >= m_probeThreshold;
}

bool Isolation::isIsolated(Base::Instant now) const
{
    return now - m_lastContact > m_timeout;
}

} // namespace JobService
