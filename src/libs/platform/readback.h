#pragma once

#include "services.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Platform
{

/// What reading back found of one record.
struct FoundRecord {
    std::string id;
    std::optional<Offset> offset; ///< of its first copy; nothing when it is not there (yet)
};

/// Every record up to the log's end at that moment was read. One that isn't there may still come later:
/// a request that was lost on its way can be late.
struct ReadBackFound {
    std::vector<FoundRecord> records; ///< in the order asked for
    Offset end = FirstOffset;
};
/// The log was out before the end was reached, or had dropped the offset to start from.
struct ReadBackFailed {
};
using ReadBackOutcome = std::variant<ReadBackFound, ReadBackFailed>;
using ReadBackCallback = std::function<void(ReadBackOutcome)>;

/// Resolves appends whose answer was lost, by reading for the records' ids from `from`, an offset that was
/// the log's end at some time before the append, up to the end.
template<LogService Log>
class ReadBack
{
public:
    static void
    start(Log &log, std::string stream, Offset from, std::vector<std::string> ids, ReadBackCallback callback)
    {
        auto search = std::make_shared<ReadBack>(log, std::move(stream), from, std::move(callback));
        for (std::string &it : ids) {
            search->m_records.push_back({std::move(it), std::nullopt});
        }
        readNext(search);
    }

    ReadBack(Log &log, std::string stream, Offset from, ReadBackCallback callback)
        : m_log(log)
        , m_request{std::move(stream), from}
        , m_callback(std::move(callback))
    {
    }

private:
    static void readNext(const std::shared_ptr<ReadBack> &search)
    {
        search->m_log.read(search->m_request, [search](const ReadOutcome &outcome) {
            const auto *read = std::get_if<ReadEntries>(&outcome);
            if (!read) {
                search->m_callback(ReadBackFailed{});
                return;
            }
            search->look(read->entries);
            search->m_request.from += read->entries.size();
            const bool isEnd = read->entries.empty() || search->m_request.from >= read->end;
            if (isEnd || search->hasAll()) {
                search->m_callback(ReadBackFound{search->m_records, search->m_request.from});
            } else {
                readNext(search);
            }
        });
    }

    void look(const std::vector<LogEntry> &entries)
    {
        for (const LogEntry &it : entries) {
            for (FoundRecord &record : m_records) {
                if (!record.offset && record.id == it.id) {
                    record.offset = it.offset;
                }
            }
        }
    }

    bool hasAll() const
    {
        return std::all_of(
            m_records.begin(), m_records.end(), [](const FoundRecord &it) { return it.offset.has_value(); });
    }

    Log &m_log;
    ReadRequest m_request;
    ReadBackCallback m_callback;
    std::vector<FoundRecord> m_records;
};

} // namespace Platform
