#include <peering/peerclient.h>
#include <peering/peerserver.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

namespace
{

constexpr Base::Duration Patience = 5s;
constexpr Base::Duration ShortPatience = 200ms;

const Peering::PeerIdentity Here{{"plaquewright"}, {"zone-a"}, {"entry-1"}, "127.0.0.1:1"};
const Peering::PeerIdentity There{{"plaquewright"}, {"zone-a"}, {"entry-2"}, "127.0.0.1:1"};
const Peering::PeerIdentity Foreign{{"kapotaksha"}, {"zone-a"}, {"entry-2"}, "127.0.0.1:1"};
const Peering::PeerIdentity OtherZone{{"plaquewright"}, {"zone-b"}, {"entry-2"}, "127.0.0.1:1"};

/// A loopback port; while this listens nothing that connects to it gets an answer.
class SilentListener
{
public:
    SilentListener()
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        const bool isListening = ::bind(m_socket, reinterpret_cast<const sockaddr *>(&address), length) == 0
            && ::listen(m_socket, 1) == 0
            && ::getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &length) == 0;
        if (!isListening) {
            throw std::runtime_error("no loopback port");
        }
        m_port = ntohs(address.sin_port);
    }
    SilentListener(const SilentListener &) = delete;
    SilentListener &operator=(const SilentListener &) = delete;
    ~SilentListener()
    {
        ::close(m_socket);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

private:
    int m_socket;
    std::uint16_t m_port = 0;
};

std::string freeAddress()
{
    return SilentListener().address();
}

Peering::PeerReport report()
{
    Peering::PeerReport report;
    report.from = There;
    report.commonOffset = 1;
    report.zoneOffset = 1ULL << 40;
    report.documentOffset = 3;
    report.demands = {{{"proofs"}, 1.5, 2, 3, 4}, {{"preview"}, 0, 0, 0, 0}};
    report.instances = {{{"worker-a-01"}, 7, true}, {{"worker-a-02"}, 1, false}};
    return report;
}

Peering::PeerState state()
{
    Peering::PeerState state;
    state.from = There;
    state.snapshot = std::string("snap\0shot\xff", 10);
    state.commonEntries = {{4, "first"}, {5, std::string("\0", 1)}};
    return state;
}

std::vector<Scheduling::SlotMessage> slotMessages()
{
    return {Scheduling::SlotHeartbeat{{"entry-1"}, 1, 2, {}, true, {{{"proofs"}, 4}}},
            Scheduling::BorrowRequest{{"entry-1"}, 5, {"proofs"}, 6, 7ms},
            Scheduling::LoanGrant{{"entry-1"}, 8, {"preview"}, {{{"worker-a-01"}, 9}}},
            Scheduling::LoanReturn{{"entry-1"}, 10, {"preview"}}};
}

} // namespace

TEST_GROUP(Peering)
{
    std::string address = freeAddress();
    std::unique_ptr<Peering::PeerServer> server;
    Peering::PeerReport answeredReport = report();
    std::atomic<int> asked{0};
    std::mutex mutex;
    std::vector<Scheduling::SlotMessage> passed;

    void serve()
    {
        server = std::make_unique<Peering::PeerServer>(
            address,
            There,
            Peering::PeerServer::Providers{
                [this](const std::function<void(Peering::PeerReport)> &answer) {
                    ++asked;
                    answer(answeredReport);
                },
                [this](const std::function<void(Peering::PeerState)> &answer) {
                    ++asked;
                    answer(state());
                },
                [this](const Peering::PeerIdentity &, Scheduling::SlotMessage message) {
                    const std::lock_guard lock(mutex);
                    passed.push_back(std::move(message));
                }});
    }

    static std::optional<Peering::PeerReport> reportFor(
        const Peering::PeerIdentity &self, const std::string &peer, Base::Duration patience = Patience)
    {
        Peering::PeerClient client(self, patience);
        std::promise<std::optional<Peering::PeerReport>> result;
        client.askReport(peer,
                         [&](std::optional<Peering::PeerReport> it) { result.set_value(std::move(it)); });
        return result.get_future().get();
    }

    static std::optional<Peering::PeerState> stateFor(
        const Peering::PeerIdentity &self, const std::string &peer, Base::Duration patience = Patience)
    {
        Peering::PeerClient client(self, patience);
        std::promise<std::optional<Peering::PeerState>> result;
        client.askState(peer, [&](std::optional<Peering::PeerState> it) { result.set_value(std::move(it)); });
        return result.get_future().get();
    }
};

TEST(Peering, AReportComesAsItWasMade)
{
    serve();
    CHECK(report() == reportFor(Here, address));
}

TEST(Peering, AStateComesAsItWasMade)
{
    serve();
    CHECK(state() == stateFor(Here, address));
}

TEST(Peering, SlotMessagesComeAsTheyWereSent)
{
    serve();
    for (const auto &it : slotMessages()) {
        Peering::PeerClient(Here, Patience).sendSlotMessage(address, it);
    }
    const std::lock_guard lock(mutex);
    CHECK(slotMessages() == passed);
}

TEST(Peering, SlotMessagesOfAnotherEnvironmentAreNotTaken)
{
    serve();
    Peering::PeerClient(Foreign, Patience).sendSlotMessage(address, slotMessages().front());
    const std::lock_guard lock(mutex);
    CHECK(passed.empty());
}

TEST(Peering, ThoseOfAnotherEnvironmentOrZoneAreNotAnswered)
{
    serve();
    CHECK_FALSE(reportFor(Foreign, address));
    CHECK_FALSE(stateFor(Foreign, address));
    CHECK_FALSE(reportFor(OtherZone, address));
    CHECK_FALSE(stateFor(OtherZone, address));
    LONGS_EQUAL(0, asked.load());
}

TEST(Peering, WhatAnotherEnvironmentAnswersIsNotTaken)
{
    answeredReport.from = Foreign;
    serve();
    CHECK_FALSE(reportFor(Here, address));
    LONGS_EQUAL(1, asked.load());
}

TEST(Peering, ASilentPeerIsGivenUp)
{
    const SilentListener silent;
    const auto start = std::chrono::steady_clock::now();
    CHECK_FALSE(reportFor(Here, silent.address(), ShortPatience));
    CHECK_FALSE(stateFor(Here, silent.address(), ShortPatience));
    const auto took = std::chrono::steady_clock::now() - start;
    CHECK(took >= 2 * ShortPatience);
    CHECK(took < Patience);
}

TEST(Peering, APeerThatAnswersTooLateIsGivenUp)
{
    std::promise<std::function<void(Peering::PeerReport)>> kept;
    Peering::PeerServer late(
        address,
        There,
        {[&](const std::function<void(Peering::PeerReport)> &answer) { kept.set_value(answer); },
         [](const std::function<void(Peering::PeerState)> &answer) { answer(state()); },
         [](const Peering::PeerIdentity &, const Scheduling::SlotMessage &) {
         }});
    CHECK_FALSE(reportFor(Here, address, ShortPatience));
    kept.get_future().get()(report());
    CHECK(state() == stateFor(Here, address));
}

TEST(Peering, APeerThatIsNotThereGivesNothing)
{
    CHECK_FALSE(reportFor(Here, address, ShortPatience));
}

TEST(Peering, AnAddressThatIsNotOursIsAnError)
{
    address = "192.0.2.1:1"; // for documentation, by RFC 5737
    CHECK_THROWS(std::runtime_error, serve());
}
