#pragma once

// Stand-ins of the platform for the cases of this review: a store, workers, a machine service, a balancer's
// readiness check, an operator and clients. All of them run in one thread, on loopback addresses and the real
// clock. They speak what the pages say and are sound but for the disruption that a case asks for.

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace World
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

std::int64_t unixMs();

/// Calls a function later. Timers end with the loop.
class Loop
{
public:
    void after(Ms delay, std::function<void()> call);
    void every(Ms period, std::function<void()> call);
    void run(const std::function<bool()> &isOver);
    asio::io_context io;
};

/// What a run did, one line an event, with milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);
    std::int64_t now() const;

private:
    std::ofstream m_out;
    Clock::time_point m_start = Clock::now();
};

struct Call {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> fields; ///< by name in lower case
    std::string body;
};
using Respond = std::function<void(unsigned status, std::string body)>;
using Handler = std::function<void(const Call &, Respond)>;

/// An HTTP/1.1 server. A handler that never responds leaves the connection without an answer.
class HttpServer
{
public:
    HttpServer(Loop &loop, const std::string &ip, Handler handler);
    std::string address() const;

private:
    void accept();
    asio::io_context &m_io;
    tcp::acceptor m_acceptor;
    Handler m_handler;
};

/// Sends one request on a connection of its own. `done` gets status 0 if there is no answer in time.
void sendCall(Loop &loop,
              const std::string &address,
              const std::string &method,
              const std::string &target,
              const std::string &host,
              const std::string &body,
              Ms limit,
              std::function<void(unsigned status, std::string body)> done);

/// The platform's store, with one door for each machine.
class Store
{
public:
    struct Limits {
        std::size_t recordBytes = 262144;
        std::size_t requestBytes = 2097152;
        std::uint32_t parts = 24;
    };

    Store(Loop &loop, Record &record, const Limits &limits);
    std::string addDoor(const std::string &ip, std::size_t machine);
    /// While set, calls about that partition of the topic are neither carried out nor answered.
    void setDown(const std::string &topic, std::uint32_t part, bool isDown);
    void put(const std::string &topic, const std::string &key, const std::string &value);
    /// The partition and machine of the latest append with a record of that key.
    std::optional<std::pair<std::uint32_t, std::size_t>> writerOf(const std::string &key) const;

private:
    struct Stored {
        std::string key;
        std::string value;
        std::string raw;
    };
    struct Producer {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        std::map<std::uint64_t, std::string> answers;
    };
    struct Waiter {
        std::uint64_t id;
        std::uint64_t from;
        std::size_t limit;
        Respond respond;
    };
    struct Partition {
        std::vector<Stored> records;
        std::map<std::string, std::uint64_t> newest;
        std::map<std::string, Producer> producers;
        std::vector<Waiter> waiters;
    };
    struct Member {
        Clock::time_point seenAt;
        Ms lifetime;
    };
    struct Share {
        std::string holder;
        std::string target;
        std::uint64_t targetSince = 0;
    };
    using Reply = std::pair<unsigned, std::string>;

    void handle(std::size_t machine, const Call &call, const Respond &respond);
    Reply append(const Call &call, std::size_t machine);
    void read(const Call &call, const Respond &respond);
    std::string tail(const Partition &from, std::uint64_t offset, std::size_t limit) const;
    Reply newest(const Call &call);
    Reply join(const Call &call);
    Reply leave(const Call &call);
    Reply owners();
    void expireMembers();
    void removeMember(const std::string &name);
    void deal();
    void wake(Partition &from);
    void later(const Respond &respond, Reply reply);

    Loop &m_loop;
    Record &m_record;
    Limits m_limits;
    std::map<std::size_t, std::unique_ptr<HttpServer>> m_doors;
    std::set<std::pair<std::string, std::uint32_t>> m_down;
    std::map<std::pair<std::string, std::uint32_t>, Partition> m_partitions;
    std::map<std::string, std::pair<std::uint32_t, std::size_t>> m_writers;
    std::map<std::string, Member> m_members;
    std::vector<Share> m_shares;
    std::string m_topic;
    std::uint64_t m_generation = 0;
    std::uint64_t m_lastWaiter = 0;
};

struct Size {
    std::int64_t cpu = 0;
    std::int64_t mem = 0;
};

struct Started {
    std::string worker;
    std::string task;
    std::uint32_t attempt = 0;
    std::int64_t at = 0; ///< ms of the record
    std::int64_t endedAt = -1;
    std::string how;
    bool isNoted = false; ///< its end has been acknowledged
};

/// What all workers have run.
struct Runs {
    std::vector<std::shared_ptr<Started>> all;
    std::function<Size(const std::string &task)> sizeOf;
    std::function<Ms(const std::string &task)> timeOf; ///< of its work
};

class Worker
{
public:
    Worker(Loop &loop,
           Record &record,
           Runs &runs,
           const std::string &ip,
           std::string id,
           std::string machine,
           std::string service,
           std::string rack,
           Size capacity);
    std::string entry();
    json::object machineRow() const;
    const std::string &id() const;
    const std::string &service() const;
    /// While set, it answers each start with 503 and does nothing.
    void setUnhealthy(bool isUnhealthy);
    std::uint64_t refusedStarts() const;
    /// It ends, and what it runs with it. After the time, if any, it starts again under its ID.
    void crash(std::optional<Ms> time = std::nullopt);
    bool isUp() const;
    std::size_t running() const;

private:
    struct Run {
        std::shared_ptr<Started> started;
        Clock::time_point endsAt;
        Size size;
    };
    struct Ended {
        std::uint64_t number;
        std::shared_ptr<Started> started;
    };
    void restart();
    void handle(const Call &call, const Respond &respond);
    void start(const json::object &order, const Respond &respond);
    void stop(const json::object &order, const Respond &respond);
    void hold(const json::object &order, const Respond &respond);
    void renew(const json::object &order);
    void end(const std::string &task, const std::string &how);
    void tick();
    std::int64_t clock() const;
    std::string list();
    std::string plain();
    std::string conflict(std::string_view reason);

    Loop &m_loop;
    Record &m_record;
    Runs &m_runs;
    std::string m_id;
    std::string m_machine;
    std::string m_service;
    std::string m_rack;
    Size m_capacity;
    Size m_used;
    std::unique_ptr<HttpServer> m_server;
    std::int64_t m_born = unixMs();
    Clock::time_point m_bornAt = Clock::now();
    std::uint64_t m_token = 0;
    std::int64_t m_leaseEnd = 0;
    std::map<std::string, Run> m_running;
    std::deque<Ended> m_ended;
    std::uint64_t m_lastEnd = 0;
    std::map<std::string, std::uint32_t> m_highest; ///< attempt that ended or was stopped, by task
    std::map<std::uint64_t, Respond> m_polls;
    std::uint64_t m_lastPoll = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_refused = 0;
    bool m_isUnhealthy = false;
    bool m_isUp = true;
};

/// The entry instances: processes of the program under review, with the settings of the deploy file.
class Members
{
public:
    struct Member {
        std::string ip;
        std::string name;
        std::string zone;
        std::string settings;
        std::string store;
        pid_t pid = 0;
        int ownEnds = 0; ///< ended by themselves or for their memory
        std::int64_t mostMemory = 0; ///< kB
        bool isReady = false;
        int misses = 2;
    };
    Members(Loop &loop, Record &record, Store &store, const std::string &net, std::size_t count);
    ~Members();
    void startAll(const std::string &machines);
    std::string frontend(std::size_t n) const;
    /// A daemon in rotation, by turns.
    std::size_t next();
    bool allReady() const;
    std::size_t size() const;
    const Member &at(std::size_t n) const;

private:
    void start(std::size_t n);
    void watch();
    std::string settingsOf(const Member &member, const std::string &machines) const;

    Loop &m_loop;
    Record &m_record;
    std::vector<Member> m_members;
    std::string m_folder;
    std::string m_program;
    std::uint16_t m_port = 0;
    std::size_t m_next = 0;
    bool m_isEnding = false;
};

/// A deployment of seven entry instances and two services.
class Deployment
{
public:
    explicit Deployment(const std::string &recordPath);

    /// Starts everything and returns whether it serves.
    bool begin();
    void writeConfig(std::uint64_t version, const std::map<std::string, std::string> &serviceOfQueue);

    struct Job {
        std::string id;
        std::string queue;
        std::string body;
        int attempts = 0;
        unsigned answer = 0; ///< final status; 0: none
        std::int64_t sentAt = 0;
        std::int64_t answeredAt = -1;
        bool isRejected = true; ///< all answers so far were refusals
    };
    /// Hands a job in as clients do: after no answer, 502 or 504 it is sent again under the same ID to
    /// another daemon; after 503 and 429 as well, `retries` times at most.
    std::shared_ptr<Job> submit(const std::string &queue, const json::object &body, int retries = 4);
    void send(const std::shared_ptr<Job> &job, int retriesLeft);
    void get(const std::string &target, std::function<void(unsigned, json::value)> done, std::size_t member);
    std::string newId();
    void runFor(Ms time);
    bool runUntil(const std::function<bool()> &isOver, Ms limit);
    std::size_t runsOf(const std::string &job) const;

    Loop loop;
    Record record;
    Runs runs;
    std::string net;
    Store store;
    Members members;
    std::vector<std::unique_ptr<Worker>> workers;
    std::unique_ptr<HttpServer> machines;
    std::map<std::string, std::shared_ptr<Job>> jobs;
    std::map<std::string, int> workersOf{{"alpha", 10}, {"beta", 10}}; ///< by service
    Ms deadline{3000};
    bool hasTrouble = true;

private:
    std::uint64_t m_lastId = 0;
};

} // namespace World
