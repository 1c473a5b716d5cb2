#include "fleetmodel.h"

#include <policy/budget.h>

#include <map>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using Policy::Budget;

TEST_GROUP(Budget){
    /// Stops instances first, first + step, ... as far as the budget allows; returns how many were stopped.
    std::size_t stopAllowed(FleetModel & model, std::size_t first, std::size_t step, std::size_t count){
        Budget budget(model.state, model.identity.zone, model.observations.instances);
std::size_t n = 0;
for (std::size_t it = 0; it < count; ++it) {
    const Base::InstanceName name = model.state.document.instances.at(first + it * step).name;
    if (budget.checkStop(name).isAllowed) {
        budget.markStopped(name);
        ++n;
    }
}
return n;
}
}
;

TEST(Budget, KeepsTheMinimumAfterTheLossOfTheLargestRack)
{
    // 12 instances of 8 slots in 4 racks, minimum 48: after 4 stops in 4 racks 64 slots remain, and 48
    // after the loss of a rack.
    FleetModel model(FleetShape{});
    CHECK_EQUAL(4, stopAllowed(model, 0, 1, 12));
}

TEST(Budget, StopsInOneRackStillAllowForTheLossOfAnother)
{
    // After 3 stops in one rack 72 slots remain, and 48 after the loss of another rack.
    FleetModel model(FleetShape{});
    CHECK_EQUAL(3, stopAllowed(model, 0, 4, 3));
    Budget budget(model.state, model.identity.zone, {});
    for (const auto *it : {"z00-i00000", "z00-i00004", "z00-i00008"}) {
        budget.markStopped({it});
    }
    CHECK_FALSE(budget.checkStop({"z00-i00001"}).isAllowed);
}

TEST(Budget, FailuresReduceTheBudgetForStops)
{
    FleetModel model(FleetShape{});
    model.instance("z00-i00000").phase = Fleet::InstancePhase::Failed;
    model.report({"z00-i00001"}).state = Fleet::PlatformState::Gone;
    model.report({"z00-i00002"}).isEjected = true;
    CHECK_EQUAL(1, stopAllowed(model, 3, 1, 9));
    model.report({"z00-i00005"}).isEjected = true;
    CHECK_EQUAL(0, stopAllowed(model, 3, 1, 9));
}

TEST(Budget, AReasonStatesTheNumbers)
{
    FleetModel model(FleetShape{});
    model.report({"z00-i00000"}).isEjected = true;
    Budget budget(model.state, model.identity.zone, model.observations.instances);
    const Policy::BudgetCheck check = budget.checkStop({"z00-i00001"});
    STRCMP_EQUAL("zone z00 keeps 80 of 96 slots, 56 without its largest rack; service p000 needs 48",
                 check.reason.c_str());
}

TEST(Budget, ZonesWithoutViewOfEachOtherCannotSpendTheSameBudgetTwice)
{
    FleetShape shape;
    shape.zones = 3;
    shape.zoneAvailability = 0;
    for (const Document::PerMille availability : {500U, 700U, 800U, 880U, 950U}) {
        shape.availability = availability;
        FleetModel model(shape);
        Policy::Slots stopped = 0;
        for (std::size_t zone = 0; zone < shape.zones; ++zone) {
            // Each zone's state contains only its own instances.
            model.identity.zone = zoneName(zone);
            model.state.instances.clear();
            for (const Document::Instance &it : model.state.document.instances) {
                if (it.zone == zoneName(zone)) {
                    model.state.instances[it.name] = {it, Fleet::InstancePhase::Serving, it.pool, {}};
                }
            }
            stopped += 8 * static_cast<Policy::Slots>(stopAllowed(model, zone * 24, 1, 12));
        }
        const Policy::Slots declared = 288;
        const Policy::Slots rack = 24;
        const bool isKept = declared - stopped - rack >= Policy::requiredSlots(declared, availability);
        // At 950 per mille the loss of a rack alone violates the minimum, so nothing may be stopped.
        CHECK_EQUAL(availability < 950, isKept);
        CHECK_EQUAL(availability<950, stopped> 0);
    }
}

TEST(Budget, AServiceThatSurvivesZoneLossReservesAZone)
{
    FleetShape shape;
    shape.zones = 3;
    shape.zoneAvailability = 0;
    shape.availability = 600;
    FleetModel model(shape);
    const std::size_t withRack = stopAllowed(model, 0, 1, 12);
    model.state.document.services.front().survivesZoneLoss = true;
    const std::size_t withZone = stopAllowed(model, 0, 1, 12);
    // 36 instances, minimum 22: a reserve of 3 leaves 11 stops for three zones, a reserve of 12 leaves 2.
    CHECK_EQUAL(4, withRack);
    CHECK_EQUAL(1, withZone);
}

TEST(Budget, AZoneWithoutAShareIsRefusedWithAReason)
{
    FleetShape shape;
    shape.zones = 3;
    shape.zoneAvailability = 0;
    shape.availability = 990;
    FleetModel model(shape);
    Budget budget(model.state, model.identity.zone, {});
    const Policy::BudgetCheck check = budget.checkStop({"z00-i00000"});
    CHECK_FALSE(check.isAllowed);
    STRCMP_CONTAINS("its share of the budget of service p000 is 0", check.reason.c_str());
}

TEST(Budget, AgreesWithCheckingTheLossOfEveryRack)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        FleetShape shape;
        shape.racks = 2 + random() % 6;
        shape.instancesPerPool = 2 + random() % 20;
        shape.zoneAvailability = random() % 900;
        FleetModel model(shape);
        Policy::Slots declared = 0;
        std::map<Base::RackName, Policy::Slots> racks;
        for (auto &[name, it] : model.state.instances) {
            it.declared.slots = 1 + random() % 16;
            model.report(name).isEjected = random() % 8 == 0;
        }
        for (Document::Instance &it : model.state.document.instances) {
            it.slots = model.state.instances.at(it.name).declared.slots;
            const bool isInPool = it.pool == poolName(0);
            declared += isInPool ? it.slots : 0;
            racks[it.rack] += isInPool && !model.report(it.name).isEjected ? it.slots : 0;
        }
        const Policy::Slots floor = Policy::requiredSlots(declared, shape.zoneAvailability);
        Budget budget(model.state, model.identity.zone, model.observations.instances);
        for (const Document::Instance &it : model.state.document.instances) {
            if (it.pool != poolName(0) || model.report(it.name).isEjected) {
                continue;
            }
            racks[it.rack] -= it.slots;
            bool survivesAll = true;
            for (const auto &[lost, lostSlots] : racks) {
                Policy::Slots left = 0;
                for (const auto &[rack, slots] : racks) {
                    left += rack == lost ? 0 : slots;
                }
                survivesAll = survivesAll && left >= floor;
            }
            CHECK_EQUAL_TEXT(survivesAll, budget.checkStop(it.name).isAllowed, std::to_string(seed).c_str());
            if (survivesAll) {
                budget.markStopped(it.name);
            } else {
                racks[it.rack] += it.slots;
            }
        }
    }
}
