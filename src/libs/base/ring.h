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
        if (!m_queue.push(std::move(message))) {
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
        Message message;
        while (m_queue.pop(message)) {
            receive(std::move(message));
        }
    }

private:
    boost::lockfree::spsc_queue<Message> m_queue;
    std::function<void()> m_wake;
    std::atomic<bool> m_awake{false};
};

} // namespace Base
