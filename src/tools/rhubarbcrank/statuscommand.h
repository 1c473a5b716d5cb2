#pragma once

#include "command.h"
#include "logreader.h"
#include "rollout.h"

#include <base/names.h>

#include <string>

namespace Commands
{

/// What the log and the entry instances say; refused when the accepted edit isn't in force everywhere.
Report statusReport(const EnvironmentLog &log, const RollOut &rollOut);

/// Asks the log for the environment's accepted document, and every live entry instance for what it has in
/// force.
template<PlatformSession Session>
Report status(Session &session,
              const Fleet::Charts &charts,
              const Base::EnvironmentName &environment,
              Base::Duration patience)
{
    EnvironmentLog log(charts);
    if (!readToEnd(session, environment.value, log, session.now() + patience)) {
        return unreachable("the platform can't be reached");
    }
    if (!log.isComplete()) {
        return refused("the log has dropped records of " + environment.value
                       + " and holds no snapshot of them");
    }
    if (log.state().documentOffset == Fleet::Offset{}) {
        return refused(environment.value + " has no accepted document");
    }
    return statusReport(log, observeRollOut(session, log.state().document));
}

Command statusCommand();

} // namespace Commands
