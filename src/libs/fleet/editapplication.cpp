#include "editapplication.h"

#include <algorithm>
#include <utility>

namespace Fleet
{

namespace
{

template<typename Item, typename Name>
void invertList(const std::vector<Item> &items,
                const std::vector<Item> &set,
                const std::vector<Name> &removed,
                std::vector<Item> &inverseSet,
                std::vector<Name> &inverseRemoved)
{
    const auto addFormerItem = [&](const Name &name) {
        const auto it =
            std::lower_bound(items.begin(), items.end(), name, [](const Item &item, const Name &wanted) {
                return item.name < wanted;
            });
        if (it != items.end() && it->name == name) {
            inverseSet.push_back(*it);
            return true;
        }
        return false;
    };
    for (const Item &it : set) {
        if (!addFormerItem(it.name)) {
            inverseRemoved.push_back(it.name);
        }
    }
    for (const Name &it : removed) {
        addFormerItem(it);
    }
}

template<typename Item, typename Name>
bool hasItemNamed(const std::vector<Item> &items, const Name &name)
{
    return std::any_of(items.begin(), items.end(), [&](const Item &it) { return it.name == name; });
}

template<typename Name>
bool hasName(const std::vector<Name> &names, const Name &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Updates instances, moves and maintenances after a change of the document and records how to undo it.
class StateReconciler
{
public:
    StateReconciler(const Charts &charts, FleetState &state, EditUndo &undo)
        : m_charts(charts)
        , m_state(state)
        , m_undo(undo)
    {
    }

    void reconcileInstance(const Base::InstanceName &name)
    {
        const Document::Instance *declared = findInstance(m_state.document, name);
        const bool isInThisZone = declared != nullptr && declared->zone == m_state.zone;
        const auto it = m_state.instances.find(name);
        if (it == m_state.instances.end()) {
            if (isInThisZone) {
                add(*declared);
            }
            return;
        }
        if (isInThisZone) {
            updateDeclaration(it->second, *declared);
        } else {
            remove(it->second);
        }
    }

    void returnToDeclaredPools(const Base::PoolName &pool)
    {
        for (auto &it : m_state.instances) {
            if (it.second.pool == pool && it.second.declared.pool != pool) {
                saveForUndo(it.second);
                abortMove(it.second);
                it.second.pool = it.second.declared.pool;
            }
        }
        abortMovesTo(pool);
    }

private:
    void add(const Document::Instance &declared)
    {
        m_undo.addedInstances.push_back(declared.name);
        m_state.instances[declared.name] = {
            declared, m_charts.instance.initial(), declared.pool, std::nullopt};
    }

    void updateDeclaration(InstanceState &instance, const Document::Instance &declared)
    {
        saveForUndo(instance);
        const bool hasNewPool = instance.declared.pool != declared.pool;
        instance.declared = declared;
        if (hasNewPool) {
            abortMove(instance);
            instance.pool = declared.pool;
        }
    }

    void remove(const InstanceState &instance)
    {
        const Base::InstanceName name = instance.declared.name;
        saveForUndo(instance);
        if (instance.action) {
            removeMove(*instance.action);
            removeMaintenance(*instance.action);
        }
        m_state.instances.erase(name);
    }

    void abortMovesTo(const Base::PoolName &pool)
    {
        std::vector<Base::InstanceName> movingInstances;
        for (const auto &it : m_state.moves) {
            if (it.second.to == pool) {
                movingInstances.push_back(it.second.instance);
            }
        }
        for (const Base::InstanceName &it : movingInstances) {
            InstanceState &instance = m_state.instances.at(it);
            saveForUndo(instance);
            abortMove(instance);
        }
    }

    void abortMove(InstanceState &instance)
    {
        if (!instance.action || !removeMove(*instance.action)) {
            return;
        }
        instance.phase =
            m_charts.instance.next(instance.phase, InstanceEvent::Release).value_or(instance.phase);
        instance.action.reset();
    }

    bool removeMove(const ActionId &id)
    {
        const auto it = m_state.moves.find(id);
        if (it == m_state.moves.end()) {
            return false;
        }
        m_undo.abortedMoves.push_back(std::move(it->second));
        m_state.moves.erase(it);
        return true;
    }

    void removeMaintenance(const ActionId &id)
    {
        const auto it = m_state.maintenances.find(id);
        if (it == m_state.maintenances.end()) {
            return;
        }
        m_undo.endedMaintenances.push_back(std::move(it->second));
        m_state.maintenances.erase(it);
    }

    // undoEdit() restores in reverse order, so the first state saved for an instance takes effect.
    void saveForUndo(const InstanceState &instance)
    {
        m_undo.formerInstances.push_back(instance);
    }

    const Charts &m_charts;
    FleetState &m_state;
    EditUndo &m_undo;
};

template<typename Fields, typename Item, typename Name>
void replaceFields(Fields &fields,
                   const Fields &newer,
                   const std::vector<Item> &set,
                   const std::vector<Name> &removed)
{
    for (const Name &it : removed) {
        fields.erase(it);
    }
    for (const Item &it : set) {
        fields.erase(it.name);
    }
    for (const auto &it : newer) {
        fields[it.first] = it.second;
    }
}

/// Replaces the unknown fields of all items that the edit sets or removes. Returns the previous fields, or
/// std::nullopt if there were none before and the edit has none.
std::optional<UnknownFields> applyUnknownFields(UnknownFields &fields, const EditProposed &edit)
{
    if (fields == UnknownFields{} && edit.unknownFields == UnknownFields{}) {
        return std::nullopt;
    }
    UnknownFields former = fields;
    const UnknownFields &newer = edit.unknownFields;
    replaceFields(fields.pools, newer.pools, edit.delta.setPools, edit.delta.removedPools);
    replaceFields(fields.instances, newer.instances, edit.delta.setInstances, edit.delta.removedInstances);
    replaceFields(fields.services, newer.services, edit.delta.setServices, edit.delta.removedServices);
    fields.document += newer.document;
    return former;
}

} // namespace

Document::Delta inverseOf(const Document::Document &document, const Document::Delta &delta)
{
    Document::Delta inverse;
    if (delta.environment) {
        inverse.environment = document.environment;
    }
    if (delta.zones) {
        inverse.zones = document.zones;
    }
    if (delta.maintenance) {
        inverse.maintenance = document.maintenance;
    }
    if (delta.weights) {
        inverse.weights = document.weights;
    }
    invertList(document.pools, delta.setPools, delta.removedPools, inverse.setPools, inverse.removedPools);
    invertList(document.instances,
               delta.setInstances,
               delta.removedInstances,
               inverse.setInstances,
               inverse.removedInstances);
    invertList(document.services,
               delta.setServices,
               delta.removedServices,
               inverse.setServices,
               inverse.removedServices);
    return inverse;
}

bool declaresAllUsedPools(const Document::Document &document, const Document::Delta &delta)
{
    const auto isDeclared = [&](const Base::PoolName &pool) {
        return hasItemNamed(delta.setPools, pool)
            || (hasPool(document, pool) && !hasName(delta.removedPools, pool));
    };
    const bool areSetInstancesValid = std::all_of(delta.setInstances.begin(),
                                                  delta.setInstances.end(),
                                                  [&](const auto &it) { return isDeclared(it.pool); });
    if (!areSetInstancesValid || delta.removedPools.empty()) {
        return areSetInstancesValid;
    }
    return std::all_of(
        document.instances.begin(), document.instances.end(), [&](const Document::Instance &it) {
            return isDeclared(it.pool) || hasName(delta.removedInstances, it.name)
                || hasItemNamed(delta.setInstances, it.name);
        });
}

EditUndo applyEdit(const Charts &charts, FleetState &state, Offset offset, const EditProposed &edit)
{
    const Document::Delta &delta = edit.delta;
    EditUndo undo;
    undo.previousDocumentOffset = state.documentOffset;
    undo.inverse = inverseOf(state.document, delta);
    state.document = Document::applied(std::move(state.document), delta);
    state.documentOffset = offset;
    undo.formerUnknownFields = applyUnknownFields(state.unknownFields, edit);

    StateReconciler reconciler(charts, state, undo);
    for (const Base::InstanceName &it : delta.removedInstances) {
        reconciler.reconcileInstance(it);
    }
    for (const Document::Instance &it : delta.setInstances) {
        reconciler.reconcileInstance(it.name);
    }
    for (const Base::PoolName &it : delta.removedPools) {
        if (!hasPool(state.document, it)) {
            reconciler.returnToDeclaredPools(it);
        }
    }
    return undo;
}

void undoEdit(FleetState &state, EditUndo undo)
{
    for (const Base::InstanceName &it : undo.addedInstances) {
        state.instances.erase(it);
    }
    for (auto it = undo.formerInstances.rbegin(); it != undo.formerInstances.rend(); ++it) {
        const Base::InstanceName name = it->declared.name;
        state.instances.insert_or_assign(name, std::move(*it));
    }
    for (Move &it : undo.abortedMoves) {
        const ActionId id = it.id;
        state.moves.insert_or_assign(id, std::move(it));
    }
    for (Maintenance &it : undo.endedMaintenances) {
        const ActionId id = it.id;
        state.maintenances.insert_or_assign(id, std::move(it));
    }
    state.document = Document::applied(std::move(state.document), undo.inverse);
    state.documentOffset = undo.previousDocumentOffset;
    if (undo.formerUnknownFields) {
        state.unknownFields = std::move(*undo.formerUnknownFields);
    }
}

} // namespace Fleet
