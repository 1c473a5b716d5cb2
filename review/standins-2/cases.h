#pragma once

#include "deployment.h"

#include <string>

namespace Review
{

/// The cases couldn't run if they throw.
///
/// The queue is removed, and added again with another service, while a job of it is at work.
void moveQueue(const std::string &program, World &world, bool hasTrouble);
/// A job has a step with thousands of small tasks.
void submitWideJob(const std::string &program, World &world, bool hasTrouble);
/// An upkeep is ordered, gets no answer and is carried out late; its owner is killed meanwhile.
void delayUpkeep(const std::string &program, World &world, bool hasTrouble);
/// A machine is added, and a wave with only this machine is announced at once.
void maintainNewMachine(const std::string &program, World &world, bool hasTrouble);

/// A gang needs more than twelve workers, on a queue with a policy of its own.
void submitAdvisedGang(const std::string &program, World &world, bool hasTrouble);

/// The workers of two racks crash in turn, twice each, under tasks that last.
void crashRacks(const std::string &program, World &world, bool hasTrouble);

} // namespace Review
