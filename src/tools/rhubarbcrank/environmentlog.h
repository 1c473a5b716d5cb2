#pragma once

#include <document/changes.h>
#include <fleet/charts.h>
#include <fleet/entry.h>
#include <fleet/fold.h>
#include <platform/messages.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Commands
{

/// An edit that every reader of the log accepts.
struct AcceptedEdit {
    Fleet::Offset offset;
    Fleet::Offset base;
    std::string author;
    std::string comment;
    std::vector<Document::Change> changes; ///< only of those after keepEditsAfter()

    bool operator==(const AcceptedEdit &) const = default;
};

/// What became of one record.
struct RecordVerdict {
    Fleet::Offset offset;
    Fleet::Outcome outcome;
};

/// One environment's common stream, folded as the daemons fold it.
class EnvironmentLog
{
public:
    /// `charts` must outlive the log.
    explicit EnvironmentLog(const Fleet::Charts &charts);

    /// Folds the next entries, in the order of their offsets.
    void apply(std::span<const Platform::LogEntry> entries);

    /// Goes on at `first`, as the log has dropped the records before; a snapshot has to follow.
    void skipTo(Platform::Offset first);

    /// The offset to read next.
    Platform::Offset next() const;

    /// False after skipTo() until a snapshot told what the dropped records said.
    bool isComplete() const;

    const Fleet::FleetState &state() const;

    /// The last accepted edit; nothing before the first, or if a snapshot stands for it.
    const std::optional<AcceptedEdit> &latest() const;

    /// Keeps from now on the accepted edits after `base` with their changes, and the document before them.
    void keepEditsAfter(Fleet::Offset base);

    const std::vector<AcceptedEdit> &keptEdits() const;

    /// The document before the first of keptEdits(); the current one if there is none.
    const Document::Document &documentBeforeKept() const;

    /// Notes what becomes of the record with this id.
    void watch(std::string recordId);
    const std::optional<RecordVerdict> &watched() const;

private:
    void applyEntry(const Fleet::Entry &entry);
    void applyRecord(const Fleet::Entry &entry);
    void startFrom(const Fleet::SnapshotTaken &snapshot);
    void noteEdit(Fleet::Offset offset, const Fleet::EditProposed &edit, const Document::Document &before);

    const Fleet::Charts *m_charts;
    Fleet::Fold m_fold;
    Platform::Offset m_next = Platform::FirstOffset;
    bool m_isComplete = true;
    std::vector<Fleet::Entry> m_beforeSnapshot; ///< while not complete
    std::optional<AcceptedEdit> m_latest;
    std::optional<Fleet::Offset> m_keepAfter;
    std::vector<AcceptedEdit> m_kept;
    Document::Document m_documentBeforeKept;
    std::string m_watchedId;
    std::optional<RecordVerdict> m_watched;
};

} // namespace Commands
