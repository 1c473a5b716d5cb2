#include "claimanswer.h"

namespace Claims
{

namespace
{

constexpr std::uint16_t Ok = 200;
constexpr std::uint16_t Conflict = 409;
constexpr std::uint16_t UnprocessableContent = 422;
constexpr std::uint16_t ServiceUnavailable = 503;

} // namespace

Base::Verdict verdictOf(AnswerKind kind)
{
    switch (kind) {
    case AnswerKind::StoredAnswer:
    case AnswerKind::AnswerNotKept:
        return Base::Verdict::Ran;
    case AnswerKind::InProgressElsewhere:
    case AnswerKind::OutcomeUnknown:
        return Base::Verdict::MayHaveRun;
    case AnswerKind::KeyReused:
    case AnswerKind::RefusedNotRun:
        return Base::Verdict::NotRun;
    }
    return Base::Verdict::MayHaveRun;
}

std::uint16_t httpStatusOf(AnswerKind kind)
{
    switch (kind) {
    case AnswerKind::StoredAnswer:
        return Ok;
    case AnswerKind::AnswerNotKept:
    case AnswerKind::InProgressElsewhere:
    case AnswerKind::OutcomeUnknown:
        return Conflict;
    case AnswerKind::KeyReused:
        return UnprocessableContent;
    case AnswerKind::RefusedNotRun:
        return ServiceUnavailable;
    }
    return ServiceUnavailable;
}

} // namespace Claims
