#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <utility>

namespace Base
{

/// A bounded queue between one producing and one consuming thread. The consumer is woken when the queue
/// stops being empty; a full queue is an answer to the producer, never a wait.
template<typename Message>
class Ring
{
public:
    /// `wake` is called on the producer's thread; it asks the consumer's thread to call drain().
    Ring(std::size_t capacity, std::function<void()> wake)
        : m_queue(capacity)
        , m_wake(std::move(wake))
    {
    }

    /// Returns false, leaving `message` as it was, when the ring is full.
    bool push(Message &&message)
    {
        const Slot slot(std::move(message));
        if (!m_queue.push(slot)) {
            message = std::move(slot.message);
            return false;
        }
        if (!m_awake.exchange(true)) {
            m_wake();
        }
        return true;
    }

    /// Hands every message that is there to `receive`; for the consumer's thread only.
    template<typename Receive>
    void drain(Receive receive)
    {
        // Cleared first: a message pushed from here on wakes the consumer again.
        m_awake.store(false);
        const auto take = [&](const Slot &slot) {
            receive(std::move(slot.message));
        };
        while (!m_queue.empty()) {
            m_queue.consume_one(take);
        }
    }

private:
    // The queue of Boost 1.81 takes its elements by copy only; this copy moves, so that messages which
    // can't be copied fit.
    struct Slot {
        explicit Slot(Message &&source)
            : message(std::move(source))
        {
        }
        Slot(const Slot &other)
            : message(std::move(other.message))
        {
        }
        Slot &operator=(const Slot &) = delete;
        ~Slot() = default;

        mutable Message message;
    };

    boost::lockfree::spsc_queue<Slot> m_queue;
    std::function<void()> m_wake;
    std::atomic<bool> m_awake{false};
};

} // namespace Base
