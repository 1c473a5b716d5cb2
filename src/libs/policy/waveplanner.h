#pragma once

#include "passcontext.h"

namespace Policy
{

/// The chance of at least `failures` among `stops` when each fails with `rate`, independently.
double chanceOfFailures(std::size_t stops, std::size_t failures, double rate);

/// Do so many of a wave's stops fail that it isn't the ordinary rate of failures?
bool isHarmful(std::size_t stops, std::size_t failures);

/// The maintenance wave of the zone: begins one when the document's wave number grows, takes instances
/// through drain and reboot within budget and Maintenance::mostAtOnce, stops a wave that does harm, and ends
/// it. A stopped wave goes on only as another wave number.
void planWave(PassContext &context);

} // namespace Policy
