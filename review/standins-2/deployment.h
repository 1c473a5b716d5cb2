#pragma once

#include "../../tests/auto/processes/process.h"
#include "advice.h"
#include "cloud.h"
#include "storefront.h"

#include <http/client.h>
#include <runtime/eventloopthread.h>

#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Review
{

/// A small deployment: members as processes, and stand-ins for the platform, the workers and the clients. Its
/// calls block and are made from the main thread.
class Deployment
{
public:
    struct Answer {
        unsigned status = 0; ///< 0: no answer
        std::string body{};
    };

    Deployment(const std::string &program, World &world, std::size_t members);
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;
    ~Deployment();

    World &world();
    /// Runs `task` on the thread of the stand-ins and returns when it is done.
    void perform(const std::function<void(Cloud &)> &task);
    /// Writes a record as the operator does.
    void operate(const std::string &key, const std::string &value);
    /// What the system has written under that key of its status, in the encoding of the store's records.
    std::string status(const std::string &key);
    /// Starts the members and waits until all are ready. Returns whether they are.
    bool start();
    void killMember(const std::string &name);
    void startMember(const std::string &name);

    /// One request to a member.
    Answer call(std::size_t member,
                const std::string &method,
                const std::string &path,
                const std::string &body = {});
    /// Submits the job, at another member after each rejection or missing answer, as a client does. Returns
    /// whether it was accepted.
    bool submit(const std::string &prefix, const Job &job);
    /// The job's state, asked for at each member in turn until one answers with 200 or 410.
    Answer stateOf(const std::string &prefix, const std::string &job);

private:
    struct Member {
        std::string name;
        std::uint16_t firstPort = 0;
        std::unique_ptr<Process> process{};
    };

    void start(Member &member);
    bool isReady(const Member &member);
    Answer send(const Ini::Endpoint &to, Http::Request request);
    Member &member(const std::string &name);

    std::string m_program;
    World &m_world;
    std::filesystem::path m_folder;
    std::string m_address; ///< of the members
    Runtime::EventLoopThread m_eventLoop;
    std::unique_ptr<Soak::Store> m_store;
    std::unique_ptr<StoreFront> m_front;
    std::unique_ptr<Cloud> m_cloud;
    std::unique_ptr<Advice> m_advice;
    std::unique_ptr<Http::Client> m_client;
    std::vector<Member> m_members;
    std::size_t m_next = 0;
};

void pause(Milliseconds time);
/// Waits until the condition holds, for that time at most. Returns whether it does.
bool waitFor(const std::function<bool()> &condition, Milliseconds most);

/// A job as clients send it.
std::string encode(const Job &job);

struct Queue {
    std::string name;
    std::string prefix;
    std::string service;
    bool hasAdvice = false;
};

/// A configuration as the operator writes it.
std::string configuration(std::uint64_t version,
                          const std::vector<Queue> &queues,
                          const std::vector<std::string> &services);

} // namespace Review
