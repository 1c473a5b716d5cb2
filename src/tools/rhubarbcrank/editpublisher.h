#pragma once

#include "environmentlog.h"
#include "logreader.h"
#include "platformsession.h"

#include <document/changes.h>
#include <document/delta.h>
#include <record/codec.h>

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Commands
{

/// An edit that an operator wants to be accepted.
struct EditRequest {
    Document::Document document; ///< its environment names the stream
    std::optional<Fleet::Offset> base; ///< the accepted edit it was made against; nothing: the latest
    std::string author;
    std::string comment;
    std::string recordId; ///< unique for each edit
    Base::Duration patience{}; ///< how long the platform may be out
};

enum class PublishVerdict {
    Accepted,
    Unchanged, ///< the accepted document is the same already
    Superseded, ///< another edit was accepted first
    UnknownBase, ///< no edit was accepted at the base
    Rejected, ///< by the platform
    Incomplete, ///< the log has dropped records and holds no snapshot of them
    Unreachable, ///< the platform was out; the edit is not in the log
    Unresolved, ///< the platform was out after the append: the edit may be in the log, or may yet get there
};

struct PublishResult {
    PublishVerdict verdict = PublishVerdict::Unreachable;
    Fleet::Offset offset; ///< of the accepted edit in force: this one, or the latest
    Fleet::Offset base;
    std::vector<Document::Change> changes; ///< that this edit would make to its base
    std::vector<AcceptedEdit> accepted; ///< since the base, when superseded
    std::string reason; ///< the platform's, when rejected
    Base::Instant appendedAt; ///< when the append was first tried
};

/// Publishes one edit on its environment's stream. The log decides: the record is read back, and folded as
/// the daemons fold it. An append with an unknown outcome is read back for, and sent again under the same
/// record id if it isn't there; the fold counts an id once, so there is never a second edit.
template<PlatformSession Session>
class EditPublisher
{
public:
    EditPublisher(Session &session, const Fleet::Charts &charts, EditRequest request)
        : m_session(session)
        , m_request(std::move(request))
        , m_stream(m_request.document.environment.value)
        , m_log(charts)
    {
    }

    PublishResult publish()
    {
        m_until = m_session.now() + m_request.patience;
        if (m_request.base) {
            m_log.keepEditsAfter(*m_request.base);
        }
        if (!readOn()) {
            return result(PublishVerdict::Unreachable);
        }
        if (!m_log.isComplete()) {
            return result(PublishVerdict::Incomplete);
        }
        m_base = m_request.base.value_or(documentOffset());
        if (const auto verdict = verdictOnBase()) {
            return result(*verdict);
        }
        m_changes = Document::changes(m_log.state().document, m_request.document);
        if (m_changes.empty()) {
            return result(PublishVerdict::Unchanged);
        }
        return append();
    }

private:
    Fleet::Offset documentOffset() const
    {
        return m_log.state().documentOffset;
    }

    bool readOn()
    {
        return readToEnd(m_session, m_stream, m_log, m_until);
    }

    // An edit on a base that is no longer the latest would be refused: it need not be sent.
    std::optional<PublishVerdict> verdictOnBase()
    {
        if (m_base == documentOffset()) {
            return std::nullopt;
        }
        m_changes = Document::changes(m_log.documentBeforeKept(), m_request.document);
        return m_base > documentOffset() ? PublishVerdict::UnknownBase : PublishVerdict::Superseded;
    }

    PublishResult append()
    {
        const Platform::LogRecord record = encoded();
        m_log.keepEditsAfter(m_base);
        m_log.watch(m_request.recordId);
        m_appendedAt = m_session.now();
        while (true) {
            const Platform::AppendOutcome outcome = m_session.append(m_stream, record);
            if (const auto *rejected = std::get_if<Platform::AppendRejected>(&outcome)) {
                m_reason = rejected->reason;
                return readBackRejected();
            }
            m_mayBeInLog = m_mayBeInLog || !std::holds_alternative<Platform::AppendUnavailable>(outcome);
            if (!readOn()) {
                return result(notReached());
            }
            if (m_log.watched()) {
                return judged();
            }
            if (m_session.now() >= m_until) {
                return result(notReached());
            }
            m_session.pause(RetryPause);
        }
    }

    // Only a repeat can be rejected while the first is in the log.
    PublishResult readBackRejected()
    {
        if (!m_mayBeInLog) {
            return result(PublishVerdict::Rejected);
        }
        if (readOn() && m_log.watched()) {
            return judged();
        }
        return result(PublishVerdict::Unresolved);
    }

    PublishResult judged() const
    {
        PublishResult judged = result(PublishVerdict::Superseded);
        if (m_log.watched()->outcome.isApplied()) {
            judged.verdict = PublishVerdict::Accepted;
            judged.offset = m_log.watched()->offset;
        }
        return judged;
    }

    PublishVerdict notReached() const
    {
        return m_mayBeInLog ? PublishVerdict::Unresolved : PublishVerdict::Unreachable;
    }

    Platform::LogRecord encoded() const
    {
        Fleet::EditProposed edit;
        edit.base = m_base;
        edit.author = m_request.author;
        edit.comment = m_request.comment;
        edit.delta = Document::difference(m_log.state().document, m_request.document);
        Fleet::Record record;
        record.id = m_request.recordId;
        record.documentOffset = m_log.state().commonAppliedTo;
        record.event = std::move(edit);
        return {record.id, Record::encode(record)};
    }

    PublishResult result(PublishVerdict verdict) const
    {
        PublishResult result;
        result.verdict = verdict;
        result.offset = documentOffset();
        result.base = m_base;
        result.changes = m_changes;
        result.accepted = m_log.keptEdits();
        result.reason = m_reason;
        result.appendedAt = m_appendedAt;
        return result;
    }

    Session &m_session;
    EditRequest m_request;
    std::string m_stream;
    EnvironmentLog m_log;
    Base::Instant m_until;
    Fleet::Offset m_base;
    std::vector<Document::Change> m_changes;
    Base::Instant m_appendedAt;
    std::string m_reason;
    bool m_mayBeInLog = false;
};

} // namespace Commands
