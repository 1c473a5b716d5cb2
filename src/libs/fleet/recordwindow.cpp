#include "recordwindow.h"

#include <xxhash.h>

#include <utility>

namespace Fleet
{

namespace
{

RecordDigest digestOf(std::string_view id)
{
    const XXH128_hash_t hash = XXH3_128bits(id.data(), id.size());
    return {hash.high64, hash.low64};
}

} // namespace

bool RecordWindow::contains(std::string_view id) const
{
    return m_digests.contains(digestOf(id));
}

std::optional<RecordWindowEntry> RecordWindow::remember(Offset offset, std::string_view id)
{
    const RecordDigest digest = digestOf(id);
    m_marks.push_back({offset, digest});
    m_digests.insert(digest);
    if (m_marks.size() <= Capacity) {
        return std::nullopt;
    }
    const RecordWindowEntry evicted = m_marks.front();
    m_marks.pop_front();
    m_digests.erase(evicted.digest);
    return evicted;
}

void RecordWindow::removeNewest(const std::optional<RecordWindowEntry> &evicted)
{
    m_digests.erase(m_marks.back().digest);
    m_marks.pop_back();
    if (evicted) {
        m_marks.push_front(*evicted);
        m_digests.insert(evicted->digest);
    }
}

RecordWindow RecordWindow::fromMarks(std::deque<RecordWindowEntry> marks)
{
    RecordWindow window;
    window.m_marks = std::move(marks);
    for (const RecordWindowEntry &it : window.m_marks) {
        window.m_digests.insert(it.digest);
    }
    return window;
}

} // namespace Fleet
