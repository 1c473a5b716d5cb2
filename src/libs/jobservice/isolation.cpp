#include "isolation.h"

#include <algorithm>
#include <utility>

namespace JobService
{

Isolation::Isolation(std::string ownZone, Base::Duration noticed, Base::Duration patience)
    : m_ownZone(std::move(ownZone))
    , m_noticed(noticed)
    , m_patience(patience)
{
}

void Isolation::heardStore(Base::Instant at)
{
    m_lastSign = std::max(m_lastSign, at);
}

void Isolation::heardPeer(std::string_view zone, bool hasStore, Base::Instant now)
{
    if (hasStore || zone != m_ownZone) {
        m_lastSign = std::max(m_lastSign, now);
    }
}

bool Isolation::isInDoubt(Base::Instant now) const
{
    return now - m_lastSign >= m_noticed;
}

bool Isolation::isIsolated(Base::Instant now) const
{
    return now - m_lastSign > m_patience;
}

} // namespace JobService
