#pragma once

#include "peerreport.h"

#include <scheduling/slotmessages.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Peering
{

/// Answers the other members of the zone. Requests come on threads of gRPC; each provider hands its answer
/// over by the callback, from any thread, exactly once.
class PeerServer
{
public:
    struct Providers {
        std::function<void(std::function<void(PeerReport)>)> report;
        std::function<void(std::function<void(PeerState)>)> state;
        std::function<void(PeerIdentity from, Scheduling::SlotMessage)> slots;
    };

    /// Throws std::runtime_error when the address ("IP:port") can't be listened on.
    PeerServer(const std::string &address, PeerIdentity self, Providers providers);
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;
    ~PeerServer();

    /// Takes no more requests and waits for those under way.
    void stop();

private:
    class Service;
    std::unique_ptr<Service> m_service;
};

} // namespace Peering
