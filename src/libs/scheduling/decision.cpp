#include "decision.h"

namespace Scheduling
{

std::string_view toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::UnknownService:
        return "unknown-service";
    case RefusalReason::NoTarget:
        return "no-target";
    case RefusalReason::QueueFull:
        return "queue-full";
    case RefusalReason::DeadlineUnmeetable:
        return "deadline-unmeetable";
    case RefusalReason::DeadlinePassed:
        return "deadline-passed";
    case RefusalReason::AttemptFailed:
        return "attempt-failed";
    case RefusalReason::RequestAtFault:
        return "request-at-fault";
    case RefusalReason::Cancelled:
        return "cancelled";
    }
    return "attempt-failed";
}

} // namespace Scheduling
