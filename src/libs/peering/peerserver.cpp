#include "peerserver.h"

#include "generated/peering.grpc.pb.h"
#include "peercodec.h"

#include <grpcpp/resource_quota.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

#include <chrono>
#include <stdexcept>
#include <utility>

namespace Peering
{

namespace Proto = rhubarbcrank::peering;

namespace
{

constexpr int MostThreads = 4;
constexpr std::size_t MostBytes = 8ULL * 1024 * 1024;
constexpr std::chrono::milliseconds StopPatience{500};

} // namespace

class PeerServer::Service : public Proto::Peers::CallbackService
{
public:
    Service(const std::string &address, PeerIdentity self, Providers providers)
        : m_self(std::move(self))
        , m_providers(std::move(providers))
    {
        grpc::ResourceQuota quota("peers");
        quota.SetMaxThreads(MostThreads);
        quota.Resize(MostBytes);
        grpc::ServerBuilder builder;
        builder.SetResourceQuota(quota);
        builder.AddListeningPort(address, grpc::InsecureServerCredentials());
        builder.RegisterService(this);
        m_server = builder.BuildAndStart();
        if (!m_server) {
            throw std::runtime_error("peers can't be listened for on " + address);
        }
    }

    void stop()
    {
        if (m_server) {
            m_server->Shutdown(std::chrono::system_clock::now() + StopPatience);
            m_server->Wait();
            m_server.reset();
        }
    }

    grpc::ServerUnaryReactor *GetReport(grpc::CallbackServerContext *context,
                                        const Proto::ReportRequest *request,
                                        Proto::Report *response) override
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        if (!isOurs(request->from())) {
            reactor->Finish(refusal());
            return reactor;
        }
        m_providers.report([reactor, response](const PeerReport &report) {
            Internal::encode(report, *response);
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

    grpc::ServerUnaryReactor *GetState(grpc::CallbackServerContext *context,
                                       const Proto::StateRequest *request,
                                       Proto::State *response) override
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        if (!isOurs(request->from())) {
            reactor->Finish(refusal());
            return reactor;
        }
        m_providers.state([reactor, response](const PeerState &state) {
            Internal::encode(state, *response);
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

    grpc::ServerUnaryReactor *PassSlotMessage(grpc::CallbackServerContext *context,
                                              const Proto::SlotMessage *request,
                                              Proto::SlotReceipt *) override
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        auto message = Internal::decode(*request);
        if (!isOurs(request->from()) || !message) {
            reactor->Finish(refusal());
            return reactor;
        }
        m_providers.slots(Internal::decode(request->from()), std::move(*message));
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

private:
    bool isOurs(const Proto::Identity &from) const
    {
        return from.environment() == m_self.environment.value && from.zone() == m_self.zone.value;
    }

    static grpc::Status refusal()
    {
        return {grpc::StatusCode::PERMISSION_DENIED, "of another environment or availability zone"};
    }

    PeerIdentity m_self;
    Providers m_providers;
    std::unique_ptr<grpc::Server> m_server;
};

PeerServer::PeerServer(const std::string &address, PeerIdentity self, Providers providers)
    : m_service(std::make_unique<Service>(address, std::move(self), std::move(providers)))
{
}

PeerServer::~PeerServer()
{
    stop();
}

void PeerServer::stop()
{
    m_service->stop();
}

} // namespace Peering
