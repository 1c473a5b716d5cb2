#include "shardcommands.h"

namespace Jobs
{

std::string_view toString(OrderResult result)
{
    switch (result) {
    case OrderResult::Done:
        return "done";
    case OrderResult::Fenced:
        return "fenced";
    case OrderResult::Superseded:
        return "superseded";
    case OrderResult::TooLate:
        return "too-late";
    case OrderResult::NoRoom:
        return "no-room";
    case OrderResult::NoTicket:
        return "no-ticket";
    case OrderResult::Unhealthy:
        return "unhealthy";
    case OrderResult::OtherInstance:
        return "other-instance";
    case OrderResult::Rejected:
        return "rejected";
    case OrderResult::NotSent:
        return "not-sent";
    case OrderResult::NoAnswer:
        return "no-answer";
    }
    return "unknown";
}

std::string_view toString(RunEnd end)
{
    switch (end) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::LeaseExpired:
        return "lapsed";
    case RunEnd::Broken:
        return "broken";
    case RunEnd::Alone:
        return "alone";
    }
    return "unknown";
}

std::string_view toString(JobState state)
{
    switch (state) {
    case JobState::Active:
        return "active";
    case JobState::Completed:
        return "completed";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace Jobs
