#pragma once

#include "editpublisher.h"
#include "report.h"
#include "rollout.h"

#include <string>

namespace Commands
{

/// A name for one edit's record that no other has.
std::string newRecordId();

/// The operator's name if it wasn't given: that of the login.
std::string defaultAuthor();

/// What became of the edit, and why.
Report reportOf(const PublishResult &result, const EditRequest &request);

/// Adds to a report how far the edit got; refused when it isn't in force everywhere.
void addRollOut(Report &report, const RollOut &rollOut, Fleet::Offset offset, Base::Duration elapsed);

/// Publishes an edit, and waits until it is in force everywhere if `isWaiting`.
template<PlatformSession Session>
Report publishEdit(Session &session, const Fleet::Charts &charts, const EditRequest &request, bool isWaiting)
{
    const Base::Instant begin = session.now();
    const PublishResult result = EditPublisher<Session>(session, charts, request).publish();
    Report report = reportOf(result, request);
    if (!isWaiting || report.status != ExitStatus::Done) {
        return report;
    }
    const Base::Instant since = result.verdict == PublishVerdict::Accepted ? result.appendedAt : begin;
    const Base::Instant until = session.now() + request.patience;
    const RollOut rollOut = awaitRollOut(session, request.document, result.offset, until);
    addRollOut(report, rollOut, result.offset, session.now() - since);
    return report;
}

} // namespace Commands
