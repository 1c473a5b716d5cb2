#pragma once

#include "report.h"

#include <base/names.h>
#include <fleet/charts.h>
#include <fleet/entry.h>
#include <fleet/fold.h>

#include <string>
#include <variant>
#include <vector>

namespace Commands
{

class HttpSession;

/// The record of one availability zone: the environment's common stream and the zone's own.
struct ZoneRecord {
    std::vector<Fleet::Entry> common;
    std::vector<Fleet::Entry> zone;
};

/// Reads both streams from their first records to their ends as they are now. A report says why it can't be:
/// the platform is out, or the log has dropped the beginning.
std::variant<ZoneRecord, Report> readRecord(HttpSession &session,
                                            const Base::EnvironmentName &environment,
                                            const Base::AvailabilityZoneName &zone,
                                            Base::Duration patience);

} // namespace Commands
