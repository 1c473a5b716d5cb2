#include "fleetstate.h"

#include <algorithm>

namespace Fleet
{

namespace
{

template<typename Item, typename Name>
const Item *findSorted(const std::vector<Item> &items, const Name &name)
{
    const auto it =
        std::lower_bound(items.begin(), items.end(), name, [](const Item &item, const Name &wanted) {
            return item.name < wanted;
        });
    return it != items.end() && it->name == name ? &*it : nullptr;
}

} // namespace

Offset currentTerm(const FleetState &state)
{
    const auto it = state.planners.find(state.zone);
    return it == state.planners.end() ? Offset{} : it->second.term;
}

bool isAcknowledgedByAll(const FleetState &state, const std::set<Base::MemberName> &acknowledgedBy)
{
    return std::all_of(state.members.begin(), state.members.end(), [&](const auto &it) {
        return acknowledgedBy.contains(it.first);
    });
}

bool hasPool(const Document::Document &document, const Base::PoolName &pool)
{
    return findSorted(document.pools, pool) != nullptr;
}

const Document::Instance *findInstance(const Document::Document &document, const Base::InstanceName &name)
{
    return findSorted(document.instances, name);
}

} // namespace Fleet
