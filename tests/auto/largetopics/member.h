#pragma once

#include "slownetwork.h"

#include <http/client.h>
#include <jobservice/configurationexchange.h>
#include <jobservice/recordfollower.h>

#include <platform/calls.h>
#include <platform/configurationpeers.h>

#include <string>
#include <vector>

namespace LargeTopics
{

constexpr std::size_t RouteBytes = 212;

inline std::string configuration(std::uint64_t version, std::size_t routes)
{
    return std::to_string(version) + ":" + std::string(routes * RouteBytes, 'r');
}

inline Platform::CallSettings settingsWith(const Ini::Endpoint &store)
{
    Platform::CallSettings settings;
    settings.store = store;
    settings.machines = store;
    return settings;
}

/// A member that follows the configuration from the store and from others, as the daemon does.
class Member
{
public:
    Member(SlowNetwork &network, double linkRate, bool readsStore = true)
        : m_endpoint(network.addLink(linkRate))
        , m_readsStore(readsStore)
        , m_client(network.context, network.timers, {})
        , m_calls(m_client, m_client, network.timers, settingsWith(m_endpoint))
        , m_follower(
              m_calls,
              network.timers,
              "keyed.op",
              {},
              [this](const std::string &, const std::string *value) { take(*value); },
              [] {})
        , m_peers(m_client, [this] { return std::vector<Ini::Endpoint>(3, m_endpoint); })
        , m_exchange(m_peers, network.timers, [this](const std::string &newer) { take(newer); })
    {
    }

    void start()
    {
        if (m_readsStore) {
            m_follower.start();
        }
        m_exchange.start([this] { return m_follower.lastRead(); },
                         [this] { return m_follower.isReceiving(); },
                         [this] { return version; });
    }

    std::uint64_t version = 0;
    std::string text;

private:
    void take(const std::string &configuration)
    {
        const std::uint64_t number = std::stoull(configuration);
        if (number > version) {
            version = number;
            text = configuration;
        }
    }

    Ini::Endpoint m_endpoint;
    bool m_readsStore;
    Http::Client m_client;
    Platform::Calls m_calls;
    JobService::RecordFollower<Platform::Calls> m_follower;
    Platform::ConfigurationPeers m_peers;
    JobService::ConfigurationExchange<Platform::ConfigurationPeers> m_exchange;
};

} // namespace LargeTopics
