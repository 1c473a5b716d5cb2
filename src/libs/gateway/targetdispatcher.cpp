#include "targetdispatcher_p.h"

#include "gatewayconstants.h"

#include <scheduling/requestscheduler.h>

#include <boost/beast/core/string.hpp>

namespace Gateway
{

namespace Internal
{

unsigned statusFor(Scheduling::RefusalReason reason, Base::Verdict verdict)
{
    switch (reason) {
    case Scheduling::RefusalReason::UnknownService:
        return 404;
    case Scheduling::RefusalReason::DeadlinePassed:
        return verdict == Base::Verdict::NotRun ? 503 : 504;
    case Scheduling::RefusalReason::AttemptFailed:
    case Scheduling::RefusalReason::RequestAtFault:
        return 502;
    default:
        return 503;
    }
}

bool isRefusalByTarget(const ResponseHead &head)
{
    if (head.status != 503) {
        return false;
    }
    return std::any_of(head.fields.begin(), head.fields.end(), [](const HeaderField &it) {
        return boost::beast::iequals(it.name, std::string(VerdictHeader))
            && it.value == Base::toString(Base::Verdict::NotRun);
    });
}

std::string_view toString(Claims::AnswerKind kind)
{
    switch (kind) {
    case Claims::AnswerKind::StoredAnswer:
        return "stored-answer";
    case Claims::AnswerKind::AnswerNotKept:
        return "answer-not-kept";
    case Claims::AnswerKind::InProgressElsewhere:
        return "in-progress-elsewhere";
    case Claims::AnswerKind::OutcomeUnknown:
        return "outcome-unknown";
    case Claims::AnswerKind::KeyReused:
        return "key-reused";
    case Claims::AnswerKind::RefusedNotRun:
        return "claim-not-made";
    }
    return "unknown";
}

std::string_view toString(Scheduling::AttemptOutcome outcome)
{
    switch (outcome) {
    case Scheduling::AttemptOutcome::Answered:
        return "answered";
    case Scheduling::AttemptOutcome::ConnectFailed:
        return "connect-failed";
    case Scheduling::AttemptOutcome::RefusedByTarget:
        return "refused-by-target";
    case Scheduling::AttemptOutcome::ConnectionLostAfterSend:
        return "broken-after-send";
    case Scheduling::AttemptOutcome::TimedOut:
        return "timed-out";
    }
    return "unknown";
}

Document::Priority priorityFor(const RequestHead &head, Document::Priority serviceDefault)
{
    if (head.priority == "interactive") {
        return Document::Priority::Interactive;
    }
    if (head.priority == "urgent") {
        return Document::Priority::Urgent;
    }
    return head.priority == "batch" ? Document::Priority::Batch : serviceDefault;
}

} // namespace Internal

template class TargetDispatcher<Scheduling::RequestScheduler>;

} // namespace Gateway
