#include "peerclient.h"

#include "generated/peering.grpc.pb.h"
#include "peercodec.h"

#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <utility>

namespace Peering
{

namespace Proto = rhubarbcrank::peering;

namespace
{

constexpr int LongestReconnectMilliseconds = 1000;

template<typename Request, typename Response>
struct Call {
    grpc::ClientContext context;
    Request request;
    Response response;
};

} // namespace

class PeerClient::Private
{
public:
    Private(PeerIdentity self, Base::Duration timeout)
        : m_self(std::move(self))
        , m_timeout(timeout)
    {
    }

    ~Private()
    {
        std::unique_lock lock(m_mutex);
        m_idle.wait(lock, [this] { return m_underWay == 0; });
    }

    Proto::Peers::Stub &clientFor(const std::string &address)
    {
        auto &client = m_clients[address];
        if (!client) {
            grpc::ChannelArguments arguments;
            arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, LongestReconnectMilliseconds);
            arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
            client = Proto::Peers::NewStub(
                grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
        }
        return *client;
    }

    template<typename Request, typename Response>
    std::shared_ptr<Call<Request, Response>> newCall()
    {
        auto call = std::make_shared<Call<Request, Response>>();
        call->context.set_deadline(std::chrono::system_clock::now() + m_timeout);
        Internal::encode(m_self, *call->request.mutable_from());
        const std::lock_guard lock(m_mutex);
        ++m_underWay;
        return call;
    }

    bool isOurs(const PeerIdentity &from) const
    {
        return from.environment == m_self.environment && from.zone == m_self.zone;
    }

    void ended()
    {
        const std::lock_guard lock(m_mutex);
        --m_underWay;
        m_idle.notify_all();
    }

private:
    PeerIdentity m_self;
    Base::Duration m_timeout;
    std::map<std::string, std::unique_ptr<Proto::Peers::Stub>> m_clients;
    std::mutex m_mutex;
    std::condition_variable m_idle;
    std::size_t m_underWay = 0;
};

PeerClient::PeerClient(PeerIdentity self, Base::Duration timeout)
    : d(std::make_unique<Private>(std::move(self), timeout))
{
}

PeerClient::~PeerClient() = default;

// A call keeps its channel, and a channel that ends on a thread of gRPC takes the queue away under it: so the
// call is let go before it counts as ended, and the channel ends with this object.
void PeerClient::askReport(const std::string &address,
                           std::function<void(std::optional<PeerReport>)> callback)
{
    auto call = d->newCall<Proto::ReportRequest, Proto::Report>();
    auto done = [this, call, callback = std::move(callback)](const grpc::Status &status) mutable {
        std::optional<PeerReport> report;
        if (status.ok()) {
            report = Internal::decode(call->response);
        }
        callback(report && d->isOurs(report->from) ? std::move(report) : std::nullopt);
        call.reset();
        d->ended();
    };
    auto &client = d->clientFor(address);
    client.async()->GetReport(&call->context, &call->request, &call->response, std::move(done));
}

void PeerClient::sendSlotMessage(const std::string &address, const Scheduling::SlotMessage &message)
{
    auto call = d->newCall<Proto::SlotMessage, Proto::SlotReceipt>();
    Internal::encode(message, call->request);
    auto done = [this, call](const grpc::Status &) mutable {
        call.reset();
        d->ended();
    };
    auto &client = d->clientFor(address);
    client.async()->PassSlotMessage(&call->context, &call->request, &call->response, std::move(done));
}

void PeerClient::askState(const std::string &address, std::function<void(std::optional<PeerState>)> callback)
{
    auto call = d->newCall<Proto::StateRequest, Proto::State>();
    auto done = [this, call, callback = std::move(callback)](const grpc::Status &status) mutable {
        std::optional<PeerState> state;
        if (status.ok()) {
            state = Internal::decode(call->response);
        }
        callback(state && d->isOurs(state->from) ? std::move(state) : std::nullopt);
        call.reset();
        d->ended();
    };
    auto &client = d->clientFor(address);
    client.async()->GetState(&call->context, &call->request, &call->response, std::move(done));
}

} // namespace Peering
