#pragma once

#include "passcontext.h"

namespace Policy
{

/// Probability of at least `failures` failures among `stops` if each fails independently with probability
/// `rate`.
double failureProbability(std::size_t stops, std::size_t failures, double rate);

/// True if the failures among a wave's stops are too many to be explained by the ordinary failure rate.
bool isFailureRateAbnormal(std::size_t stops, std::size_t failures);

/// Plans the zone's maintenance wave: starts one when the document's wave number increases, takes instances
/// through drain and reboot within the budget and Maintenance::maxConcurrent, stops a wave with an abnormal
/// failure rate, and finishes it. A stopped wave resumes only under a higher wave number.
void planWave(PassContext &context);

} // namespace Policy
