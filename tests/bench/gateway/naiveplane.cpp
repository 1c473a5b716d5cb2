#include "plane.h"

#include "naivescheduler.h"

#include <gateway/requestplane.h>
#include <gateway/targetdispatcher_p.h>

namespace Bench
{

namespace
{

constexpr std::uint64_t Seed = 1;

class NaivePlane final : public Plane
{
public:
    explicit NaivePlane(std::span<const Address> targets)
        : m_plane({}, {}, {}, Seed)
    {
        m_plane.setRouting(routingTo(targets));
        m_plane.start();
    }

    Address address() const override
    {
        return {"127.0.0.1", m_plane.callers().port()};
    }

private:
    mutable Gateway::RequestPlane<NaiveScheduler> m_plane;
};

} // namespace

std::unique_ptr<Plane> naivePlane(std::span<const Address> targets)
{
    return std::make_unique<NaivePlane>(targets);
}

} // namespace Bench
