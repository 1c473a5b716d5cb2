#pragma once

#include "statecursor.h"
#include "violation.h"

namespace Replay
{

/// A snapshot of the zone equals the fold of everything before it.
class SnapshotCheck
{
public:
    SnapshotCheck(StateCursor cursor, Violations &violations)
        : m_cursor(std::move(cursor))
        , m_violations(violations)
    {
    }

    void check(const Step &step);

private:
    StateCursor m_cursor;
    Violations &m_violations;
};

} // namespace Replay
