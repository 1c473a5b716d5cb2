#pragma once

#include "generated/record.pb.h"

#include <fleet/record.h>

namespace Record::Internal
{

void write(const Document::Instance &instance, Wire::Instance &message);
void write(const Document::Pool &pool, Wire::Pool &message);
void write(const Document::Route &route, Wire::Route &message);
void write(const Document::Service &service, Wire::Service &message);
void write(const Document::Maintenance &maintenance, Wire::MaintenanceRules &message);
void write(const Document::Weights &weights, Wire::Weights &message);
void write(const Fleet::PoolDemand &demand, Wire::PoolDemand &message);
void write(const Fleet::ActionReport &report, Wire::ActionReport &message);
void write(const Fleet::InstanceReport &report, Wire::InstanceReport &message);
void write(const Fleet::InstanceState &instance, Wire::InstanceState &message);
void write(const Fleet::Move &move, Wire::Move &message);
void write(const Fleet::Maintenance &maintenance, Wire::Maintenance &message);
void write(const Fleet::Wave &wave, Wire::Wave &message);
void write(const Fleet::PlannerLease &lease, Wire::PlannerLease &message);
void write(const Fleet::Member &member, Wire::Member &message);
void write(const Fleet::RecordWindow &window, Wire::RecordWindow &message);
void write(const Fleet::Record &record, Wire::Record &message);
void write(const Document::Delta &delta, Wire::Delta &message);
void write(const Document::Document &document, Wire::Document &message);
void write(const Fleet::Observations &observations, Wire::Observations &message);
void write(const Fleet::PlannerMemory &memory, Wire::PlannerMemory &message);
void write(const Fleet::FleetState &state, Wire::FleetState &message);

} // namespace Record::Internal
