#include "requesttable.h"

namespace Scheduling
{

Request *RequestTable::insert(const Arrival &arrival)
{
    const auto [it, isNew] = m_byId.try_emplace(arrival.id, nullptr);
    if (!isNew) {
        return nullptr;
    }
    if (m_unused.empty()) {
        it->second = &m_requests.emplace_back();
    } else {
        it->second = m_unused.back();
        m_unused.pop_back();
    }
    Request &request = *it->second;
    request.arrival = arrival;
    request.attempts = 0;
    request.verdict = Base::Verdict::NotRun;
    request.state = RequestState::Queued;
    request.failures.clear();
    return &request;
}

Request *RequestTable::find(RequestId id) const
{
    const auto it = m_byId.find(id);
    return it == m_byId.end() ? nullptr : it->second;
}

void RequestTable::erase(Request &request)
{
    m_byId.erase(request.arrival.id);
    m_unused.push_back(&request);
}

std::size_t RequestTable::size() const
{
    return m_byId.size();
}

} // namespace Scheduling
