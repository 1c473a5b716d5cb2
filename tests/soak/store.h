#pragma once

#include <base/timerservice.h>
#include <http/server.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace Soak
{

/// How the store fails.
struct StoreFaults {
    enum class Outage { None, Silent, Busy, Reset };
    Outage outage = Outage::None;
    double slowness = 1; ///< factor on the time to answer
    double lostShare = 0; ///< of writes that are done and not answered
    double lateShare = 0; ///< of the lost ones that are done seconds later
};

/// Stands in for the platform's metadata store: topics of partitions with compacted keys, producers with
/// epochs and sequence numbers, and groups whose members share the partitions.
class Store
{
public:
    Store(boost::asio::io_context &context, Base::TimerService &timers, std::uint32_t seed);

    std::uint16_t port() const;
    void setFaults(const StoreFaults &faults);

    /// A write of the operator or a worker. Without a value the key is deleted.
    void put(const std::string &topic, const std::string &key, const std::optional<std::string> &value);
    /// Members of the group that hold a partition.
    std::vector<std::string> owners() const;

    std::uint64_t writes() const;
    std::uint64_t reads() const;
    std::uint64_t rejected() const;

private:
    using Query = std::map<std::string, std::string, std::less<>>;

    struct Record {
        std::string key;
        std::string value;
        std::string raw; ///< as in the log, without its length
    };
    struct Producer {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        std::map<std::uint64_t, std::string> answers; ///< to the last appends, by sequence number
    };
    struct Waiter {
        std::uint64_t id = 0;
        std::uint64_t from = 0;
        std::size_t limit = 0; ///< bytes
        Http::Responder respond;
    };
    struct Partition {
        std::deque<Record> records;
        std::map<std::string, std::uint64_t> newest; ///< offsets by key
        std::map<std::string, Producer> producers;
        std::vector<Waiter> waiters;
        Base::Instant busyUntil;
    };
    struct Member {
        Base::Instant seenAt;
        Base::Duration lifetime{};
    };
    struct Share {
        std::string holder;
        std::string target;
        std::uint64_t targetSince = 0; ///< generation
    };

    void handle(const Http::Request &request, const Http::Responder &respond);
    void answerAfter(Base::Duration delay, const Http::Responder &respond, Http::Response response);
    bool takeCall(double &budget, Base::Instant &filledAt, double perSecond, double cost);
    void append(const Query &query, const std::string &body, const Http::Responder &respond);
    Http::Response appendNow(const Query &query, const std::string &body);
    void read(const Query &query, const Http::Responder &respond);
    Http::Response tail(const Partition &partition, std::uint64_t from, std::size_t limit) const;
    void wakeWaiters(Partition &partition);
    Http::Response newest(const Query &query);
    Http::Response join(const std::string &body);
    Http::Response leave(const std::string &body);
    Http::Response ownerRows();
    void removeMember(const std::string &name);
    void expireMembers();
    void dealPartitions();
    Partition &partition(const Query &query);
    Partition &partition(const std::string &topic, std::uint32_t number);

    Base::TimerService &m_timers;
    std::mt19937 m_random;
    StoreFaults m_faults;
    std::map<std::pair<std::string, std::uint32_t>, Partition> m_partitions;
    std::map<std::string, Member> m_members;
    std::vector<Share> m_shares;
    std::string m_groupTopic;
    std::uint64_t m_generation = 0;
    std::vector<Http::Responder> m_unanswered;
    std::uint64_t m_lastWaiter = 0;
    double m_writeBudget = 0;
    double m_readBudget = 0;
    Base::Instant m_writesFilledAt;
    Base::Instant m_readsFilledAt;
    std::uint64_t m_writes = 0;
    std::uint64_t m_reads = 0;
    std::uint64_t m_rejected = 0;
    Http::Server m_server;
};

} // namespace Soak
