#pragma once

#include "document.h"

#include <optional>
#include <vector>

namespace Document
{

/// What one edit changes. Applying it to the document that it was made against gives the new document.
struct Delta {
    std::optional<Base::EnvironmentName> environment;
    std::optional<std::vector<Base::AvailabilityZoneName>> zones;
    std::vector<Pool> setPools; ///< added, or changed to this
    std::vector<Base::PoolName> removedPools;
    std::vector<Instance> setInstances;
    std::vector<Base::InstanceName> removedInstances;
    std::vector<Service> setServices;
    std::vector<Base::ServiceName> removedServices;
    std::optional<Maintenance> maintenance;
    std::optional<Weights> weights;

    bool operator==(const Delta &) const = default;
    bool isEmpty() const
    {
        return *this == Delta{};
    }
};

/// The delta that leads from one document to another; the lists of both are sorted by name.
Delta difference(const Document &from, const Document &to);

/// The document with the changes made. Lists stay sorted by name; removing what isn't there does nothing.
Document applied(Document document, const Delta &delta);

} // namespace Document
