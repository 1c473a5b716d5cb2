#include "encoder_p.h"
#include "lists_p.h"

namespace Record::Internal
{

void write(const Document::Instance &instance, Wire::Instance &message)
{
    message.set_name(instance.name.value);
    message.set_address(instance.address);
    message.set_port(instance.port);
    message.set_zone(instance.zone.value);
    message.set_rack(instance.rack.value);
    message.set_slots(instance.slots);
    message.set_connections(instance.connections);
    message.set_pool(instance.pool.value);
}

void write(const Document::Pool &pool, Wire::Pool &message)
{
    message.set_name(pool.name.value);
    message.set_is_spare(pool.isSpare);
}

void write(const Document::Route &route, Wire::Route &message)
{
    message.set_path_prefix(route.pathPrefix);
    message.set_is_idempotent(route.isIdempotent);
}

void write(const Document::Service &service, Wire::Service &message)
{
    message.set_name(service.name.value);
    message.set_pool(service.pool.value);
    writeItems(service.routes, *message.mutable_routes());
    message.set_priority(static_cast<Wire::Priority>(service.priority));
    message.set_deadline_ms(service.deadline.count());
    message.set_availability(service.availability);
    message.set_zone_availability(service.zoneAvailability);
    message.set_survives_zone_loss(service.survivesZoneLoss);
}

void write(const Document::Maintenance &maintenance, Wire::MaintenanceRules &message)
{
    message.set_drain_timeout_ms(maintenance.drainTimeout.count());
    message.set_most_at_once(maintenance.maxConcurrent);
    writeNames(maintenance.wave, *message.mutable_wave());
    message.set_wave_number(maintenance.waveNumber);
}

void write(const Document::Weights &weights, Wire::Weights &message)
{
    message.set_buffer(weights.buffer);
    message.set_moves(weights.moves);
    message.set_roll_out_time(weights.rollOutTime);
}

void write(const Document::Delta &delta, Wire::Delta &message)
{
    if (delta.environment) {
        message.set_environment(delta.environment->value);
    }
    if (delta.zones) {
        writeNames(*delta.zones, *message.mutable_zones()->mutable_names());
    }
    writeItems(delta.setPools, *message.mutable_set_pools());
    writeNames(delta.removedPools, *message.mutable_removed_pools());
    writeItems(delta.setInstances, *message.mutable_set_instances());
    writeNames(delta.removedInstances, *message.mutable_removed_instances());
    writeItems(delta.setServices, *message.mutable_set_services());
    writeNames(delta.removedServices, *message.mutable_removed_services());
    if (delta.maintenance) {
        write(*delta.maintenance, *message.mutable_maintenance());
    }
    if (delta.weights) {
        write(*delta.weights, *message.mutable_weights());
    }
}

void write(const Document::Document &document, Wire::Document &message)
{
    message.set_environment(document.environment.value);
    writeNames(document.zones, *message.mutable_zones());
    writeItems(document.pools, *message.mutable_pools());
    writeItems(document.instances, *message.mutable_instances());
    writeItems(document.services, *message.mutable_services());
    write(document.maintenance, *message.mutable_maintenance());
    write(document.weights, *message.mutable_weights());
}

} // namespace Record::Internal
