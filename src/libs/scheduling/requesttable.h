#pragma once

#include "request.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstddef>
#include <deque>
#include <vector>

namespace Scheduling
{

/// Owns the requests from their arrival to the end of their last attempt. Addresses are stable.
class RequestTable
{
public:
    /// Returns the new request, or nullptr if the id already exists.
    Request *insert(const Arrival &arrival);

    Request *find(RequestId id) const;
    void erase(Request &request);
    std::size_t size() const;

private:
    std::deque<Request> m_requests;
    std::vector<Request *> m_unused;
    boost::unordered_flat_map<RequestId, Request *, std::hash<RequestId>> m_byId;
};

} // namespace Scheduling
