#pragma once

#include "request.h"

#include <boost/intrusive/set.hpp>

#include <cstddef>

namespace Scheduling
{

/// Requests ordered by their latest start (earliest deadline first), and by arrival if that is equal. The
/// queue is intrusive and doesn't own the requests; a request is in at most one queue at a time.
class RequestQueue
{
public:
    bool isEmpty() const
    {
        return m_requests.empty();
    }

    std::size_t size() const
    {
        return m_requests.size();
    }

    Request &front()
    {
        return *m_requests.begin();
    }

    const Request &front() const
    {
        return *m_requests.begin();
    }

    void insert(Request &request)
    {
        m_requests.insert(request);
    }

    void erase(Request &request)
    {
        m_requests.erase(m_requests.iterator_to(request));
    }

    auto begin()
    {
        return m_requests.begin();
    }

    auto end()
    {
        return m_requests.end();
    }

    auto begin() const
    {
        return m_requests.begin();
    }

    auto end() const
    {
        return m_requests.end();
    }

private:
    struct StartsEarlier {
        bool operator()(const Request &a, const Request &b) const
        {
            return a.latestStart < b.latestStart;
        }
    };
    using Hook =
        boost::intrusive::member_hook<Request, boost::intrusive::set_member_hook<>, &Request::queueHook>;

    boost::intrusive::multiset<Request, Hook, boost::intrusive::compare<StartsEarlier>> m_requests;
};

} // namespace Scheduling
