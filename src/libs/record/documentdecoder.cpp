#include "decoder_p.h"
#include "lists_p.h"
#include "unknownfields_p.h"

#include <utility>

namespace Record::Internal
{

namespace
{

template<typename Fields, typename Name, typename Message>
void keepUnknownFields(Fields &fields, const Name &name, const Message &message)
{
    std::string bytes = unknownFieldsOf(message);
    if (!bytes.empty()) {
        fields[name] = std::move(bytes);
    }
}

Document::Maintenance readMaintenanceRules(const Wire::MaintenanceRules &message)
{
    Document::Maintenance maintenance;
    maintenance.drainTimeout = Document::Milliseconds(message.drain_timeout_ms());
    maintenance.maxConcurrent = message.most_at_once();
    maintenance.wave = readNames<Base::PoolName>(message.wave());
    maintenance.waveNumber = message.wave_number();
    return maintenance;
}

Document::Weights readWeights(const Wire::Weights &message)
{
    return {message.buffer(), message.moves(), message.roll_out_time()};
}

} // namespace

Document::Delta Decoder::read(const Wire::Delta &message, Fleet::UnknownFields &unknownFields)
{
    Document::Delta delta;
    unknownFields.document = unknownFieldsOf(message);
    if (message.has_environment()) {
        delta.environment = Base::EnvironmentName{message.environment()};
    }
    if (message.has_zones()) {
        delta.zones = readNames<Base::AvailabilityZoneName>(message.zones().names());
    }
    for (const Wire::Pool &it : message.set_pools()) {
        delta.setPools.push_back(read(it, unknownFields));
    }
    delta.removedPools = readNames<Base::PoolName>(message.removed_pools());
    for (const Wire::Instance &it : message.set_instances()) {
        delta.setInstances.push_back(read(it, unknownFields));
    }
    delta.removedInstances = readNames<Base::InstanceName>(message.removed_instances());
    for (const Wire::Service &it : message.set_services()) {
        delta.setServices.push_back(read(it, unknownFields));
    }
    delta.removedServices = readNames<Base::ServiceName>(message.removed_services());
    if (message.has_maintenance()) {
        delta.maintenance = readMaintenanceRules(message.maintenance());
    }
    if (message.has_weights()) {
        delta.weights = readWeights(message.weights());
    }
    return delta;
}

Document::Document Decoder::read(const Wire::Document &message, Fleet::UnknownFields &unknownFields)
{
    Document::Document document;
    unknownFields.document = unknownFieldsOf(message);
    document.environment = {message.environment()};
    document.zones = readNames<Base::AvailabilityZoneName>(message.zones());
    for (const Wire::Pool &it : message.pools()) {
        document.pools.push_back(read(it, unknownFields));
    }
    document.instances.reserve(static_cast<std::size_t>(message.instances_size()));
    for (const Wire::Instance &it : message.instances()) {
        document.instances.push_back(read(it, unknownFields));
    }
    for (const Wire::Service &it : message.services()) {
        document.services.push_back(read(it, unknownFields));
    }
    document.maintenance = readMaintenanceRules(message.maintenance());
    document.weights = readWeights(message.weights());
    return document;
}

Document::Pool Decoder::read(const Wire::Pool &message, Fleet::UnknownFields &unknownFields)
{
    Document::Pool pool;
    pool.name = {message.name()};
    pool.isSpare = message.is_spare();
    keepUnknownFields(unknownFields.pools, pool.name, message);
    return pool;
}

Document::Instance Decoder::read(const Wire::Instance &message, Fleet::UnknownFields &unknownFields)
{
    Document::Instance instance;
    instance.name = {message.name()};
    instance.address = message.address();
    instance.port = static_cast<std::uint16_t>(message.port());
    instance.zone = {message.zone()};
    instance.rack = {message.rack()};
    instance.slots = message.slots();
    instance.connections = message.connections();
    instance.pool = {message.pool()};
    keepUnknownFields(unknownFields.instances, instance.name, message);
    return instance;
}

Document::Service Decoder::read(const Wire::Service &message, Fleet::UnknownFields &unknownFields)
{
    Document::Service service;
    service.name = {message.name()};
    service.pool = {message.pool()};
    for (const Wire::Route &it : message.routes()) {
        service.routes.push_back({it.path_prefix(), it.is_idempotent()});
    }
    service.priority =
        toEnum<Document::Priority>(message.priority(), Wire::Priority_IsValid(message.priority()));
    service.deadline = Document::Milliseconds(message.deadline_ms());
    service.availability = message.availability();
    service.zoneAvailability = message.zone_availability();
    service.survivesZoneLoss = message.survives_zone_loss();
    keepUnknownFields(unknownFields.services, service.name, message);
    return service;
}

} // namespace Record::Internal
