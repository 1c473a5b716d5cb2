#include <runtime/eventloopthread.h>

#include <boost/asio/execution_context.hpp>
#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace std::chrono_literals;

namespace
{

/// Notes when its context is destroyed, as the service of the sockets does.
class Witness : public boost::asio::execution_context::service
{
public:
    using key_type = Witness;
    static inline boost::asio::execution_context::id id;

    explicit Witness(boost::asio::execution_context &context)
        : boost::asio::execution_context::service(context)
    {
    }

    std::shared_ptr<bool> isDestroyed = std::make_shared<bool>(false);

private:
    void shutdown() override
    {
        *isDestroyed = true;
    }
};

/// Notes whether its context is there at its end, as a socket needs it to be.
struct Holder {
    std::shared_ptr<bool> isContextDestroyed;
    bool *wasLate;

    ~Holder()
    {
        *wasLate = *isContextDestroyed;
    }
};

} // namespace

TEST_GROUP(EventLoopThread){};

// Answers that waited for a timer outlived the sockets' context, and a program crashed at its end.
TEST(EventLoopThread, WhatPendingTimersHoldEndsBeforeTheContext)
{
    bool wasLate = true;
    {
        Runtime::EventLoopThread eventLoop("test");
        const auto isDestroyed = boost::asio::use_service<Witness>(eventLoop.context()).isDestroyed;
        const auto holder = std::shared_ptr<Holder>(new Holder{isDestroyed, &wasLate});
        eventLoop.timers().subscribeAfter(1h, [holder] {});
    }
    CHECK_FALSE(wasLate);
}
