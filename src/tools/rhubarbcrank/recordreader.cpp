#include "recordreader.h"

#include "httpsession.h"
#include "logreader.h"

#include <fleet/streamnames.h>
#include <record/codec.h>

#include <fmt/format.h>

#include <utility>

namespace Commands
{

namespace
{

/// Gathers a stream's entries; stands where logreader.h wants something to apply them to.
class EntryList
{
public:
    void apply(std::span<const Platform::LogEntry> entries)
    {
        for (const auto &it : entries) {
            m_entries.push_back(Record::decodeEntry(Fleet::Offset{it.offset}, it.data));
            m_next = it.offset + 1;
        }
    }

    void skipTo(Platform::Offset first)
    {
        m_next = first;
        m_isComplete = false;
    }

    Platform::Offset next() const
    {
        return m_next;
    }
    bool isComplete() const
    {
        return m_isComplete;
    }
    std::vector<Fleet::Entry> take()
    {
        return std::move(m_entries);
    }

private:
    std::vector<Fleet::Entry> m_entries;
    Platform::Offset m_next = Platform::FirstOffset;
    bool m_isComplete = true;
};

} // namespace

std::variant<ZoneRecord, Report> readRecord(HttpSession &session,
                                            const Base::EnvironmentName &environment,
                                            const Base::AvailabilityZoneName &zone,
                                            Base::Duration patience)
{
    const Base::Instant until = session.now() + patience;
    EntryList common;
    EntryList own;
    // The zone's stream goes first: its records name how much of the common one they build upon.
    for (auto &[name, list] : {std::pair<std::string, EntryList &>{Fleet::zoneStream(environment, zone), own},
                               {Fleet::commonStream(environment), common}}) {
        if (!readToEnd(session, name, list, until)) {
            return unreachable("the platform can't be reached");
        }
        if (!list.isComplete()) {
            return refused(fmt::format("the log has dropped the beginning of {}", name));
        }
    }
    return ZoneRecord{common.take(), own.take()};
}

} // namespace Commands
