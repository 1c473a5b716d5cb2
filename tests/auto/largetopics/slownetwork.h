#pragma once

#include <base/timerservice.h>
#include <ini/values.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace LargeTopics
{

/// A stand-in of the store with one topic, over loopback in virtual time. Each member reads through a link of
/// its own; a link's answers share its bandwidth, and all reads share the store's.
class SlowNetwork
{
public:
    /// `bytesPerSecond` is what all reads of the store share.
    explicit SlowNetwork(double bytesPerSecond);
    ~SlowNetwork();

    /// Adds a link and returns the address of the store, and of the other members, behind it.
    Ini::Endpoint addLink(double bytesPerSecond);

    /// Appends a record and keeps it as the newest one of its key.
    void write(const std::string &key, const std::string &value);

    /// Sets the answer of other members to a question for a configuration newer than a version; nullopt if
    /// none has a newer one.
    void setPeerAnswer(std::function<std::optional<std::string>(std::uint64_t version)> answer);

    /// Sets the list of machines, as the platform sends it.
    void setMachines(std::string list);

    /// Sets what all answers of other members share; without a limit at start.
    void setPeerRate(double bytesPerSecond);

    /// Breaks the connections that are receiving an answer.
    void resetTransfers();

    void runFor(Base::Duration time);
    /// Runs until `done` returns true, for `time` at most; returns whether it did.
    bool runUntil(const std::function<bool()> &done, Base::Duration time);

    /// Bytes that the store has sent.
    std::uint64_t storeBytes() const;
    std::uint64_t peerBytes() const;

    boost::asio::io_context context;
    Base::TimerService timers;

private:
    class Session;
    class Link;
    struct State;

    void step();

    std::unique_ptr<State> d;
};

} // namespace LargeTopics
