#include "delta.h"

#include <algorithm>
#include <span>
#include <utility>

namespace Document
{

namespace
{

template<typename Part>
using NameOf = decltype(Part::name);

template<typename Part>
bool isNameLess(const Part &part, const NameOf<Part> &name)
{
    return part.name < name;
}

/// The parts of `to` that are new or other than in `from`; both are sorted by name.
template<typename Part>
std::vector<Part> changed(std::span<const Part> from, std::span<const Part> to)
{
    std::vector<Part> parts;
    auto it = from.begin();
    for (const Part &part : to) {
        it = std::lower_bound(it, from.end(), part.name, isNameLess<Part>);
        if (it == from.end() || *it != part) {
            parts.push_back(part);
        }
    }
    return parts;
}

/// The names of `from` that `to` has no more.
template<typename Part>
std::vector<NameOf<Part>> removed(std::span<const Part> from, std::span<const Part> to)
{
    std::vector<NameOf<Part>> names;
    auto it = to.begin();
    for (const Part &part : from) {
        it = std::lower_bound(it, to.end(), part.name, isNameLess<Part>);
        if (it == to.end() || it->name != part.name) {
            names.push_back(part.name);
        }
    }
    return names;
}

template<typename Value>
std::optional<Value> replaced(const Value &from, const Value &to)
{
    return from == to ? std::nullopt : std::optional(to);
}

template<typename Part>
void remove(std::vector<Part> &parts, std::vector<NameOf<Part>> names)
{
    std::sort(names.begin(), names.end());
    std::erase_if(parts,
                  [&](const Part &it) { return std::binary_search(names.begin(), names.end(), it.name); });
}

template<typename Part>
void set(std::vector<Part> &parts, std::span<const Part> changes)
{
    for (const Part &change : changes) {
        const auto it = std::lower_bound(parts.begin(), parts.end(), change.name, isNameLess<Part>);
        if (it != parts.end() && it->name == change.name) {
            *it = change;
        } else {
            parts.insert(it, change);
        }
    }
}

} // namespace

Delta difference(const Document &from, const Document &to)
{
    Delta delta;
    delta.environment = replaced(from.environment, to.environment);
    delta.zones = replaced(from.zones, to.zones);
    delta.setPools = changed<Pool>(from.pools, to.pools);
    delta.removedPools = removed<Pool>(from.pools, to.pools);
    delta.setInstances = changed<Instance>(from.instances, to.instances);
    delta.removedInstances = removed<Instance>(from.instances, to.instances);
    delta.setServices = changed<Service>(from.services, to.services);
    delta.removedServices = removed<Service>(from.services, to.services);
    delta.maintenance = replaced(from.maintenance, to.maintenance);
    delta.weights = replaced(from.weights, to.weights);
    return delta;
}

Document applied(Document document, const Delta &delta)
{
    document.environment = delta.environment.value_or(std::move(document.environment));
    document.zones = delta.zones.value_or(std::move(document.zones));
    remove(document.pools, delta.removedPools);
    set<Pool>(document.pools, delta.setPools);
    remove(document.instances, delta.removedInstances);
    set<Instance>(document.instances, delta.setInstances);
    remove(document.services, delta.removedServices);
    set<Service>(document.services, delta.setServices);
    document.maintenance = delta.maintenance.value_or(std::move(document.maintenance));
    document.weights = delta.weights.value_or(document.weights);
    return document;
}

} // namespace Document
