#include "environmentlog.h"

#include <record/codec.h>

#include <utility>

namespace Commands
{

EnvironmentLog::EnvironmentLog(const Fleet::Charts &charts)
    : m_charts(&charts)
    , m_fold(charts, Base::AvailabilityZoneName())
{
}

void EnvironmentLog::apply(std::span<const Platform::LogEntry> entries)
{
    for (const Platform::LogEntry &it : entries) {
        m_next = it.offset + 1;
        applyEntry(Record::decodeEntry({it.offset}, it.data));
    }
}

void EnvironmentLog::skipTo(Platform::Offset first)
{
    m_next = first;
    m_isComplete = false;
    m_beforeSnapshot.clear();
}

Platform::Offset EnvironmentLog::next() const
{
    return m_next;
}

bool EnvironmentLog::isComplete() const
{
    return m_isComplete;
}

const Fleet::FleetState &EnvironmentLog::state() const
{
    return m_fold.state();
}

const std::optional<AcceptedEdit> &EnvironmentLog::latest() const
{
    return m_latest;
}

void EnvironmentLog::keepEditsAfter(Fleet::Offset base)
{
    m_keepAfter = base;
    m_kept.clear();
}

const std::vector<AcceptedEdit> &EnvironmentLog::keptEdits() const
{
    return m_kept;
}

const Document::Document &EnvironmentLog::documentBeforeKept() const
{
    return m_kept.empty() ? state().document : m_documentBeforeKept;
}

void EnvironmentLog::watch(std::string recordId)
{
    m_watchedId = std::move(recordId);
    m_watched.reset();
}

const std::optional<RecordVerdict> &EnvironmentLog::watched() const
{
    return m_watched;
}

// A snapshot that reaches up to the first record kept, or beyond, leaves no gap. What stands before it and
// isn't in it is folded after it.
void EnvironmentLog::applyEntry(const Fleet::Entry &entry)
{
    if (m_isComplete) {
        applyRecord(entry);
        return;
    }
    m_beforeSnapshot.push_back(entry);
    const Fleet::Record *record = entry.record();
    const auto *snapshot = record != nullptr ? std::get_if<Fleet::SnapshotTaken>(&record->event) : nullptr;
    if (snapshot != nullptr
        && snapshot->state.commonAppliedTo.value + 1 >= m_beforeSnapshot.front().offset.value) {
        startFrom(*snapshot);
    }
}

void EnvironmentLog::startFrom(const Fleet::SnapshotTaken &snapshot)
{
    m_fold = Fleet::Fold(*m_charts, snapshot.state);
    m_latest.reset();
    m_isComplete = true;
    for (const Fleet::Entry &it : std::exchange(m_beforeSnapshot, {})) {
        applyRecord(it);
    }
}

void EnvironmentLog::applyRecord(const Fleet::Entry &entry)
{
    const Fleet::Record *record = entry.record();
    const auto *edit = record != nullptr ? std::get_if<Fleet::EditProposed>(&record->event) : nullptr;
    const bool isKept = edit != nullptr && m_keepAfter && entry.offset > *m_keepAfter;
    const Document::Document before = isKept ? state().document : Document::Document();
    const Fleet::Outcome outcome = m_fold.applyCommon(entry);
    if (edit != nullptr && outcome.isApplied()) {
        noteEdit(entry.offset, *edit, before);
    }
    // The first copy of a record decides; further ones are repeats.
    if (record != nullptr && record->id == m_watchedId && !m_watched) {
        m_watched = RecordVerdict{entry.offset, outcome};
    }
}

void EnvironmentLog::noteEdit(Fleet::Offset offset,
                              const Fleet::EditProposed &edit,
                              const Document::Document &before)
{
    m_latest = AcceptedEdit{offset, edit.base, edit.author, edit.comment, {}};
    if (m_keepAfter && offset > *m_keepAfter) {
        if (m_kept.empty()) {
            m_documentBeforeKept = before;
        }
        m_kept.push_back(*m_latest);
        m_kept.back().changes = Document::changes(before, state().document);
    }
}

} // namespace Commands
