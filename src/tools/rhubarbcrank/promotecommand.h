#pragma once

#include "command.h"
#include "publishing.h"

#include <document/documentreader.h>

#include <string>

namespace Commands
{

struct PromoteRequest {
    Base::EnvironmentName from;
    Base::EnvironmentName to;
    EditRequest edit; ///< its document is what `from` has accepted
};

/// Copies the document that one environment has accepted to another, as an edit there.
template<PlatformSession Session>
Report promote(Session &session, const Fleet::Charts &charts, PromoteRequest request, bool isWaiting)
{
    EnvironmentLog log(charts);
    if (!readToEnd(session, request.from.value, log, session.now() + request.edit.patience)) {
        return unreachable("the platform can't be reached; nothing was published");
    }
    if (!log.isComplete()) {
        return refused("refused: the log has dropped records of " + request.from.value
                       + " and holds no snapshot");
    }
    const Fleet::Offset offset = log.state().documentOffset;
    if (offset == Fleet::Offset{}) {
        return refused("refused: " + request.from.value + " has no accepted document");
    }
    Document::Document document = log.state().document;
    document.environment = request.to;
    // An older version may have accepted what this one takes for a mistake.
    Document::Loaded checked = Document::read(Document::print(document), request.from.value);
    if (!checked.document) {
        return badInput(checked.mistakes);
    }
    request.edit.document = std::move(*checked.document);
    if (request.edit.comment.empty()) {
        request.edit.comment = "from " + request.from.value + " at offset " + std::to_string(offset.value);
    }
    return publishEdit(session, charts, request.edit, isWaiting);
}

Command promoteCommand();

} // namespace Commands
