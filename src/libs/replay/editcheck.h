#pragma once

#include "violation.h"

namespace Replay
{

/// An edit takes effect only on top of the last accepted one, and that offset only grows.
class EditCheck
{
public:
    /// `start` is the state before the first step.
    EditCheck(const Fleet::FleetState &start, Violations &violations);

    void check(const Step &step);

private:
    Violations &m_violations;
    Fleet::Offset m_accepted;
};

} // namespace Replay
