#pragma once

#include "counters.h"
#include "faults.h"
#include "httpserver.h"
#include "logstore.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace PlatformStandin
{

struct Settings {
    std::uint16_t port = 0; ///< 0 for any
    std::size_t retention = 0; ///< records kept of each stream; 0 for all
    std::chrono::milliseconds rebootTime{1000}; ///< for which a rebooted instance is listed as gone
};

/// The platform's log, instance list and instance actions in memory, with faults on request.
class Standin
{
public:
    Standin(boost::asio::io_context &context, const Settings &settings);

    std::uint16_t port() const;
    void setFaults(const Faults &faults);
    const Counters &counters() const;

    /// See HttpServer::silenceOpenConnections(); also POST /control/silence.
    void silenceOpenConnections();

    /// The JSON array of the instance list, shown when `lag` has passed unless the list is stale by then.
    void setInstances(std::string json, std::chrono::milliseconds lag);

private:
    using Clock = std::chrono::steady_clock;

    struct Waiter {
        std::string stream;
        std::uint64_t from = 0;
        std::size_t count = 0;
        ReplyCallback reply;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    void handle(Request request, ReplyCallback reply);
    void handleControl(const Request &request, const ReplyCallback &reply);
    void dispatch(const Request &request, const ReplyCallback &reply);
    void dispatchStream(const Request &request, std::string_view path, const ReplyCallback &reply);
    void append(const std::string &stream, const Request &request, const ReplyCallback &reply);
    void read(const std::string &stream, std::string_view query, const ReplyCallback &reply);
    void trim(const std::string &stream, const Request &request, const ReplyCallback &reply);
    void list(const ReplyCallback &reply);
    void act(const std::string &instance, const Request &request, const ReplyCallback &reply);
    void reboot(const std::string &instance);
    std::string listedInstances() const;
    void controlInstances(const Request &request, const ReplyCallback &reply);
    void answer(Reply answer, const ReplyCallback &reply);
    void answerEffect(Reply effect, const ReplyCallback &reply);
    bool losesNextAnswer();
    bool isOverLimit();
    void answerRead(const std::string &stream, std::uint64_t from, std::size_t count, const ReplyCallback &);
    void wakeWaiters(const std::string &stream);
    void after(std::chrono::milliseconds delay, std::function<void()> callback);
    std::string countersJson() const;

    boost::asio::io_context &m_context;
    std::chrono::milliseconds m_rebootTime;
    LogStore m_log;
    Faults m_faults;
    Counters m_counters;
    std::list<Waiter> m_waiters;
    std::vector<ReplyCallback> m_unanswered;
    std::string m_instances = "[]"; ///< JSON
    std::vector<std::string> m_actions; ///< JSON of each distinct action, in order
    std::vector<std::string> m_actionIds;
    std::set<std::string> m_rebooting; ///< instances
    std::uint64_t m_effects = 0;
    Clock::time_point m_secondStart{};
    std::uint32_t m_appendsThisSecond = 0;
    HttpServer m_server;
};

} // namespace PlatformStandin
