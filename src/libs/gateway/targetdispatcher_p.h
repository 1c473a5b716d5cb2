#pragma once

#include "connectionpool.h"
#include "exchange.h"
#include "outbox.h"
#include "storedanswer.h"
#include "targetdispatcher.h"

#include <base/logline.h>
#include <runtime/eventloopthread.h>

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <string>
#include <unordered_map>
#include <utility>

namespace Gateway
{

namespace Internal
{

/// Returns the HTTP status of the response to a refused request.
unsigned statusFor(Scheduling::RefusalReason reason, Base::Verdict verdict);

/// Returns whether the target's response states that it did not execute the request.
bool isRefusalByTarget(const ResponseHead &head);

/// Returns the name used in spans and in responses.
std::string_view toString(Claims::AnswerKind kind);

/// Returns the name used in spans.
std::string_view toString(Scheduling::AttemptOutcome outcome);

Document::Priority priorityFor(const RequestHead &head, Document::Priority serviceDefault);

} // namespace Internal

template<SchedulerConcept Scheduler>
class TargetDispatcher<Scheduler>::Private final : public Internal::ConnectionObserver
{
public:
    using Connection = std::shared_ptr<Internal::TargetConnection>;
    using Exchange = Internal::Exchange;

    Private(Runtime::EventLoopThread &eventLoop,
            const TargetLimits &limits,
            const Scheduling::SchedulerLimits &schedulerLimits,
            std::uint64_t seed)
        : m_eventLoop(eventLoop)
        , m_limits(limits)
        , m_scheduler(schedulerLimits, seed)
        , m_output(eventLoop.timers())
        , m_tracer(seed, limits.traceSamplePerMille)
        , m_schedulerTimer(eventLoop.timers())
        , m_routingTable(std::make_shared<RoutingTable>())
    {
    }

    void receive(ToTargets &&message)
    {
        revalidateSlotsAfterPause();
        if (auto *open = std::get_if<OpenExchange>(&message)) {
            openExchange(std::move(*open));
        } else if (auto *body = std::get_if<RequestBody>(&message)) {
            onRequestBody(std::move(*body));
        } else if (const auto *credit = std::get_if<ResponseCredit>(&message)) {
            onResponseCredit(credit->id);
        } else if (const auto *disconnected = std::get_if<CallerDisconnected>(&message)) {
            onCallerDisconnected(disconnected->id);
        }
        processDecisions();
    }

    void receive(ClaimReply &&reply)
    {
        if (const auto *grant = std::get_if<Claims::Grant>(&reply)) {
            onGrant(*grant);
        } else {
            onClaimAnswer(std::get<Claims::ClaimAnswer>(std::move(reply)));
        }
        processDecisions();
    }

    void setRouting(std::shared_ptr<const RoutingTable> table)
    {
        m_routingTable = std::move(table);
        std::vector<Scheduling::ServiceSpec> services;
        for (const auto &it : m_routingTable->services()) {
            services.push_back({serviceId(it.name), it.pool, it.availability});
        }
        std::vector<Scheduling::TargetSpec> targets;
        for (const auto &it : m_routingTable->targets()) {
            const auto id = targetId(it);
            targets.push_back({id, it.instance, it.pool, it.zone, it.slots, it.connections, it.isDraining});
        }
        m_scheduler.setFleet(services, targets);
        if (m_ledger) {
            updateSlots([&](auto &ledger, auto &out) { ledger.setTargets(targets, now(), out); });
        }
        m_scheduler.advance(now(), m_decisions);
        processDecisions();
    }

    void enableSlotSharing(SlotPort port) requires SharesSlots<Scheduler>
    {
        m_slotPort = std::move(port);
        m_ledger.emplace(m_slotPort.limits, m_slotPort.self, [this](Scheduling::TargetId id) {
            return m_scheduler.usageOf(id);
        });
        m_eventLoop.timers().subscribeEvery(m_slotPort.limits.borrowPeriod, [this] { observeSlots(); });
        setRouting(m_routingTable);
    }

    void observeSlots() requires SharesSlots<Scheduler>
    {
        const auto pools = m_scheduler.statistics().pools;
        updateSlots([&](auto &ledger, auto &out) {
            ledger.advance(now(), out);
            ledger.updateDemand(pools, now(), out);
        });
        processDecisions();
    }

    void setEpoch(const Scheduling::MembershipEpoch &epoch)
    {
        if (m_ledger) {
            updateSlots([&](auto &ledger, auto &out) { ledger.setEpoch(epoch, now(), out); });
            processDecisions();
        }
    }

    void stopSlotSharing()
    {
        if (m_ledger) {
            updateSlots([&](auto &ledger, auto &out) { ledger.leave(now(), out); });
        }
    }

    void receive(const Scheduling::SlotMessage &message)
    {
        if (m_ledger) {
            updateSlots([&](auto &ledger, auto &out) { ledger.receive(message, now(), out); });
            processDecisions();
        }
    }

    std::uint32_t inFlightOn(const Base::InstanceName &instance) const
    {
        const auto it = m_targetIds.find(instance);
        return it == m_targetIds.end() ? 0 : m_targets.at(it->second).inFlight;
    }

    std::vector<InstanceInFlight> inFlight() const
    {
        std::vector<InstanceInFlight> busy;
        for (const auto &[id, it] : m_targets) {
            if (it.inFlight > 0) {
                busy.push_back({it.instance, it.inFlight});
            }
        }
        return busy;
    }

    void onRequestCredit(Internal::TargetConnection &connection) override
    {
        Exchange *exchange = exchangeOn(connection);
        if (!exchange) {
            return;
        }
        ++exchange->chunksSent;
        if (exchange->chunksSent > exchange->creditsGranted) {
            exchange->creditsGranted = exchange->chunksSent;
            send(RequestCredit{exchange->id});
        }
    }

    void onResponseHead(Internal::TargetConnection &connection,
                        ResponseHead head,
                        std::string chunk,
                        bool isLast) override
    {
        Exchange *exchange = exchangeOn(connection);
        if (!exchange) {
            connection.close();
            return;
        }
        auto responseHead = std::make_unique<ResponseHead>(std::move(head));
        if (Internal::isRefusalByTarget(*responseHead)) {
            endAttempt(*exchange, Scheduling::AttemptOutcome::RefusedByTarget);
        } else if (isLast && responseHead->status >= FirstServerError && canResend(*exchange)) {
            exchange->status = responseHead->status;
            exchange->fallbackHead = std::move(responseHead);
            exchange->fallbackBody = std::move(chunk);
            endAttempt(*exchange, Scheduling::AttemptOutcome::Answered, true);
        } else {
            exchange->status = responseHead->status;
            exchange->isServerError = responseHead->status >= FirstServerError;
            exchange->phase = Exchange::Phase::Responding;
            exchange->attemptTimer.disarm();
            dropBufferedBody(*exchange);
            bufferForReplay(*exchange, responseHead.get(), chunk);
            forward(*exchange, OpenResponse{exchange->id, std::move(responseHead), std::move(chunk), isLast});
            if (isLast) {
                endAttempt(*exchange, Scheduling::AttemptOutcome::Answered, exchange->isServerError);
            }
        }
        processDecisions();
    }

    void onResponseBody(Internal::TargetConnection &connection, std::string chunk, bool isLast) override
    {
        Exchange *exchange = exchangeOn(connection);
        if (!exchange) {
            connection.close();
            return;
        }
        bufferForReplay(*exchange, nullptr, chunk);
        forward(*exchange, ResponseBody{exchange->id, std::move(chunk), isLast});
        if (isLast) {
            endAttempt(*exchange, Scheduling::AttemptOutcome::Answered, exchange->isServerError);
            processDecisions();
        }
    }

    void onConnectionFailed(Internal::TargetConnection &connection,
                            Internal::ConnectionFailure reason,
                            bool mayHaveSent) override
    {
        if (reason == Internal::ConnectionFailure::ProgressTimeout) {
            m_counters.progressTimeouts.fetch_add(1, std::memory_order_relaxed);
        }
        Exchange *exchange = exchangeOn(connection);
        if (!exchange) {
            return;
        }
        Base::LogLine(Base::LogLevel::Debug, "attempt-broken")
            .with("exchange", exchange->id.value)
            .with("instance", m_targets.at(exchange->target).instance.value)
            .with("reason", static_cast<int>(reason))
            .with("may_have_sent", mayHaveSent);
        endAttempt(*exchange, outcomeOf(reason, mayHaveSent));
        processDecisions();
    }

    void onIdleClosed(Internal::TargetConnection &connection) override
    {
        m_pool.remove(connection);
    }

    Runtime::EventLoopThread &m_eventLoop;
    TargetLimits m_limits;
    Scheduler m_scheduler;
    Internal::Outbox<ToCallers> m_output;
    TargetCounters m_counters;
    Internal::RequestTracer m_tracer;
    ClaimPort m_claims;

private:
    static constexpr Base::Duration ClaimRetryAfter = std::chrono::seconds{1};
    static constexpr unsigned FirstServerError = 500;

    struct Target {
        Base::InstanceName instance;
        Internal::TargetConnection::Endpoint endpoint;
        std::uint32_t slots = 0;
        std::uint32_t inFlight = 0;
    };

    Base::Instant now() const
    {
        return m_eventLoop.timers().now();
    }

    /// Updates the slot ledger and applies its decisions before any request is dispatched.
    template<typename Update>
    void updateSlots(Update update)
    {
        if constexpr (SharesSlots<Scheduler>) {
            Scheduling::SlotDecisions decisions;
            update(*m_ledger, decisions);
            m_slotsCheckedAt = now();
            for (const auto &it : decisions.allowances) {
                m_scheduler.setAllowance(it.target, it.allowance);
            }
            if (!decisions.allowances.empty()) {
                m_scheduler.advance(now(), m_decisions);
            }
            if (!decisions.messages.empty()) {
                m_slotPort.send(std::move(decisions.messages));
            }
        }
    }

    // After the thread was suspended, a request may be handled before the overdue timers. The slot allowances
    // may have expired by then, so the ledger is advanced first.
    void revalidateSlotsAfterPause()
    {
        if (m_ledger && now() - m_slotsCheckedAt > m_slotPort.limits.staleAfter) {
            updateSlots([&](auto &ledger, auto &out) { ledger.advance(now(), out); });
        }
    }

    Scheduling::ServiceId serviceId(const Base::ServiceName &name)
    {
        const auto next = static_cast<std::uint32_t>(m_serviceIds.size());
        return m_serviceIds.try_emplace(name, Scheduling::ServiceId{next}).first->second;
    }

    // When the address of an instance changes, its idle connections to the old address are closed.
    Scheduling::TargetId targetId(const RoutedTarget &routed)
    {
        const auto next = static_cast<std::uint32_t>(m_targetIds.size());
        const auto id = m_targetIds.try_emplace(routed.instance, Scheduling::TargetId{next}).first->second;
        Target &target = m_targets[id];
        const Internal::TargetConnection::Endpoint endpoint(boost::asio::ip::make_address(routed.address),
                                                            routed.port);
        if (target.endpoint != endpoint || routed.isDraining) {
            m_pool.clear(id.value);
        }
        target.instance = routed.instance;
        target.endpoint = endpoint;
        target.slots = routed.slots;
        return id;
    }

    Exchange *exchangeOn(const Internal::TargetConnection &connection)
    {
        const auto it = m_exchangesByConnection.find(&connection);
        return it == m_exchangesByConnection.end() ? nullptr : it->second;
    }

    Exchange *find(ExchangeId id)
    {
        const auto it = m_exchanges.find(id);
        return it == m_exchanges.end() ? nullptr : it->second.get();
    }

    void send(ToCallers &&message)
    {
        m_output.push(std::move(message));
    }

    void sendFailure(ExchangeId id, Failure failure)
    {
        send(ExchangeFailed{id, std::make_unique<Failure>(std::move(failure))});
    }

    void openExchange(OpenExchange &&message)
    {
        m_counters.exchanges.fetch_add(1, std::memory_order_relaxed);
        const auto match = m_routingTable->find(message.head->method, message.head->target);
        if (!match) {
            m_counters.unknownService.fetch_add(1, std::memory_order_relaxed);
            sendFailure(message.id, {404, Base::Verdict::NotRun, "unknown-service", std::nullopt});
            return;
        }
        const RoutedService &service = m_routingTable->services()[match->service];
        auto exchange = std::make_unique<Exchange>(m_eventLoop.timers());
        exchange->id = message.id;
        exchange->service = service.name;
        exchange->trace = m_tracer.begin(message.head->traceParent, message.head->receivedAt);
        exchange->isIdempotent = match->isIdempotent;
        exchange->priority = Internal::priorityFor(*message.head, service.priority);
        const Base::Duration requestedDeadline = message.head->deadline.value_or(service.deadline);
        exchange->deadline =
            message.head->receivedAt + std::min(requestedDeadline, m_routingTable->longestDeadline());
        exchange->head = std::move(message.head);
        bufferChunk(*exchange, {std::move(message.chunk), message.isLast});
        Exchange &opened = *exchange;
        m_exchanges.emplace(opened.id, std::move(exchange));
        m_counters.inFlight.store(m_exchanges.size(), std::memory_order_relaxed);
        if (!opened.isIdempotent && !opened.head->idempotencyKey.empty()) {
            claim(opened);
        } else {
            enqueue(opened);
        }
    }

    void enqueue(Exchange &exchange)
    {
        exchange.phase = Exchange::Phase::Queued;
        const Scheduling::Arrival arrival{Scheduling::RequestId{exchange.id.value},
                                          serviceId(exchange.service),
                                          exchange.priority,
                                          exchange.deadline,
                                          exchange.isIdempotent};
        m_scheduler.arrive(arrival, now(), m_decisions);
    }

    // The fingerprint distinguishes a repeated request from a different one that reuses the key by mistake.
    void claim(Exchange &exchange)
    {
        exchange.phase = Exchange::Phase::Claiming;
        const std::string length = exchange.head->length ? std::to_string(*exchange.head->length) : "";
        const std::array<std::string_view, 4> parts{
            exchange.head->method, exchange.head->target, length, exchange.bodyChunks.front().data};
        const Claims::ClaimRequest request{
            exchange.id.value,
            Claims::digestOf(exchange.service.value, exchange.head->idempotencyKey),
            Claims::fingerprintOf(parts),
            exchange.deadline};
        if (!m_claims.claim || !m_claims.claim(request)) {
            failExchange(exchange, {503, Base::Verdict::NotRun, "claims-not-taken", ClaimRetryAfter});
        }
    }

    void onGrant(const Claims::Grant &grant)
    {
        Exchange *exchange = find(ExchangeId{grant.requestId});
        if (!exchange) {
            m_claims.finish(grant.requestId, Claims::RequestNotRun{});
            return;
        }
        exchange->isKeyGranted = true;
        m_tracer.claimEnded(exchange->trace, "granted", now());
        if (exchange->isCallerDisconnected) {
            failExchange(*exchange, {503, Base::Verdict::NotRun, "cancelled", std::nullopt});
            return;
        }
        enqueue(*exchange);
    }

    void onClaimAnswer(Claims::ClaimAnswer &&answer)
    {
        Exchange *exchange = find(ExchangeId{answer.requestId});
        if (!exchange) {
            return;
        }
        const std::string_view reason = Internal::toString(answer.kind);
        m_tracer.claimEnded(exchange->trace, reason, now());
        if (answer.kind == Claims::AnswerKind::StoredAnswer) {
            if (auto stored = Internal::decodeAnswer(answer.storedAnswer)) {
                deliverStored(*exchange, std::move(*stored));
                return;
            }
        }
        Failure failure{Claims::httpStatusOf(answer.kind),
                        Claims::verdictOf(answer.kind),
                        std::string(reason),
                        std::nullopt};
        if (answer.retryAfter > Base::Duration::zero()) {
            failure.retryAfter = answer.retryAfter;
        }
        failExchange(*exchange, std::move(failure));
    }

    void deliverStored(Exchange &exchange, Internal::StoredAnswer stored)
    {
        exchange.status = stored.head.status;
        if (!exchange.isCallerDisconnected) {
            auto head = std::make_unique<ResponseHead>(std::move(stored.head));
            send(OpenResponse{exchange.id, std::move(head), std::move(stored.body), true});
        }
        countAnswered(exchange);
        removeExchange(exchange);
    }

    /// Buffers a response so that it can be stored and returned to repeats of the request with the same key.
    void bufferForReplay(Exchange &exchange, const ResponseHead *head, std::string_view chunk)
    {
        if (!exchange.isKeyGranted || !exchange.isReplayable) {
            return;
        }
        if (head) {
            exchange.replayHead = std::make_unique<ResponseHead>(*head);
        }
        exchange.replayBody += chunk;
        if (exchange.replayBody.size() > m_limits.storedAnswerBytes) {
            exchange.isReplayable = false;
            exchange.replayBody.clear();
        }
    }

    void recordOutcome(Exchange &exchange, Base::Verdict verdict)
    {
        if (!std::exchange(exchange.isKeyGranted, false)) {
            return;
        }
        if (verdict == Base::Verdict::NotRun) {
            m_claims.finish(exchange.id.value, Claims::RequestNotRun{});
        } else if (verdict == Base::Verdict::MayHaveRun || !exchange.replayHead) {
            m_claims.finish(exchange.id.value, Claims::RequestMayHaveRun{});
        } else {
            // An oversized response is passed on with a size above the limit. Its content is then not stored,
            // but the record still says that the request ran.
            auto answer = Internal::encodeAnswer(*exchange.replayHead, exchange.replayBody);
            if (!exchange.isReplayable) {
                answer.resize(m_limits.storedAnswerBytes + 1);
            }
            m_claims.finish(
                exchange.id.value,
                Claims::RequestCompleted{static_cast<std::uint16_t>(exchange.status), std::move(answer)});
        }
    }

    void bufferChunk(Exchange &exchange, Internal::BodyChunk chunk)
    {
        exchange.isBodyComplete = chunk.isLast;
        exchange.bufferedBytes += chunk.data.size();
        m_bufferedBytes += chunk.data.size();
        exchange.bodyChunks.push_back(std::move(chunk));
    }

    void dropBufferedBody(Exchange &exchange)
    {
        exchange.isBodyBuffered = false;
        exchange.bodyChunks.clear();
        m_bufferedBytes -= std::exchange(exchange.bufferedBytes, 0);
    }

    /// Whether a body that becomes longer by `bytes` stays within what is buffered for another attempt.
    bool canBuffer(const Exchange &exchange, std::size_t bytes) const
    {
        return exchange.bufferedBytes + bytes <= m_limits.resendBytes
            && m_bufferedBytes + bytes <= m_limits.resendTotalBytes;
    }

    bool canResend(const Exchange &exchange) const
    {
        return exchange.isBodyBuffered && exchange.phase != Exchange::Phase::Responding
            && !exchange.isCallerDisconnected;
    }

    void onRequestBody(RequestBody &&message)
    {
        Exchange *exchange = find(message.id);
        if (!exchange) {
            return;
        }
        exchange->isBodyComplete = message.isLast;
        if (exchange->isBodyBuffered && exchange->connection && !canBuffer(*exchange, message.chunk.size())) {
            dropBufferedBody(*exchange);
        }
        if (exchange->connection) {
            exchange->connection->sendBody(message.chunk, message.isLast);
        }
        if (exchange->isBodyBuffered) {
            bufferChunk(*exchange, {std::move(message.chunk), message.isLast});
        }
    }

    void onResponseCredit(ExchangeId id)
    {
        Exchange *exchange = find(id);
        if (exchange && exchange->connection) {
            exchange->connection->grantResponseCredit();
        }
    }

    // A non-idempotent request that was dispatched and whose body is complete continues, so that its outcome
    // becomes known. Other requests are cancelled; one that waits for its claim ends with the claim's reply.
    void onCallerDisconnected(ExchangeId id)
    {
        Exchange *exchange = find(id);
        if (!exchange) {
            return;
        }
        exchange->isCallerDisconnected = true;
        if (exchange->phase == Exchange::Phase::Claiming) {
            return;
        }
        const bool runsToCompletion =
            exchange->connection && !exchange->isIdempotent && exchange->isBodyComplete;
        if (runsToCompletion) {
            for (std::uint32_t n = 0; n < ChunkWindow; ++n) {
                exchange->connection->grantResponseCredit();
            }
            return;
        }
        m_scheduler.cancel(Scheduling::RequestId{id.value}, now(), m_decisions);
    }

    void forward(Exchange &exchange, ToCallers &&message)
    {
        if (exchange.isCallerDisconnected) {
            exchange.connection->grantResponseCredit();
            return;
        }
        send(std::move(message));
    }

    void onAttemptTimeout(ExchangeId id)
    {
        Exchange *exchange = find(id);
        if (exchange && exchange->phase == Exchange::Phase::Attempting) {
            endAttempt(*exchange, Scheduling::AttemptOutcome::TimedOut);
            processDecisions();
        }
    }

    static Scheduling::AttemptOutcome outcomeOf(Internal::ConnectionFailure reason, bool mayHaveSent)
    {
        if (!mayHaveSent) {
            return Scheduling::AttemptOutcome::ConnectFailed;
        }
        return reason == Internal::ConnectionFailure::ProgressTimeout
            ? Scheduling::AttemptOutcome::TimedOut
            : Scheduling::AttemptOutcome::ConnectionLostAfterSend;
    }

    // Releases the connection first. It is returned to the pool only if the response is complete and no
    // unread bytes are left that could be taken for part of the next response.
    void endAttempt(Exchange &exchange, Scheduling::AttemptOutcome outcome, bool isServerError = false)
    {
        releaseConnection(exchange);
        exchange.attemptTimer.disarm();
        m_tracer.attemptEnded(
            exchange.trace, m_targets.at(exchange.target).instance.value, Internal::toString(outcome), now());
        const Scheduling::AttemptResult result{
            outcome, now() - exchange.attemptStartedAt, isServerError, canResend(exchange)};
        if (exchange.phase == Exchange::Phase::Attempting) {
            exchange.phase = Exchange::Phase::Queued;
        }
        m_scheduler.attemptEnded(Scheduling::RequestId{exchange.id.value}, result, now(), m_decisions);
    }

    void releaseConnection(Exchange &exchange)
    {
        const Connection connection = std::exchange(exchange.connection, nullptr);
        if (!connection) {
            return;
        }
        m_exchangesByConnection.erase(connection.get());
        Target &target = m_targets.at(exchange.target);
        --target.inFlight;
        if (connection->isReusable()) {
            m_pool.put(connection, target.slots);
        } else {
            connection->close();
        }
    }

    // Applying a decision may add further ones, so the size is checked in each iteration.
    void processDecisions()
    {
        if (m_isProcessingDecisions) {
            return;
        }
        m_isProcessingDecisions = true;
        for (std::size_t n = 0; n < m_decisions.size(); ++n) {
            const Scheduling::Decision decision = m_decisions[n];
            std::visit([this](const auto &it) { this->apply(it); }, decision);
        }
        m_decisions.clear();
        m_isProcessingDecisions = false;
        armSchedulerTimer();
    }

    void armSchedulerTimer()
    {
        const auto due = m_scheduler.nextDue();
        if (due == m_schedulerDueAt) {
            return;
        }
        m_schedulerDueAt = due;
        if (!due) {
            m_schedulerTimer.disarm();
            return;
        }
        m_schedulerTimer.armAt(*due, [this] {
            m_schedulerDueAt.reset();
            m_scheduler.advance(now(), m_decisions);
            processDecisions();
        });
    }

    void apply(const Scheduling::Dispatch &dispatch)
    {
        Exchange *exchange = find(ExchangeId{dispatch.request.value});
        if (!exchange) {
            return;
        }
        m_counters.attempts.fetch_add(1, std::memory_order_relaxed);
        Target &target = m_targets.at(dispatch.target);
        ++target.inFlight;
        exchange->target = dispatch.target;
        exchange->phase = Exchange::Phase::Attempting;
        exchange->attemptStartedAt = now();
        exchange->head->traceParent = m_tracer.attemptStarted(exchange->trace, now());
        exchange->chunksSent = 0;
        exchange->attemptTimer.armAt(dispatch.attemptDeadline,
                                     [this, id = exchange->id] { onAttemptTimeout(id); });
        exchange->fallbackHead.reset();
        exchange->fallbackBody.clear();
        const auto notBefore =
            exchange->isIdempotent ? Base::Instant{} : now() - m_limits.nonIdempotentReuseAge;
        exchange->connection = m_pool.take(dispatch.target.value, notBefore);
        const auto &first = exchange->bodyChunks.front();
        if (exchange->connection) {
            m_exchangesByConnection.emplace(exchange->connection.get(), exchange);
            exchange->connection->send(*exchange->head, first.data, first.isLast);
        } else {
            exchange->connection = std::make_shared<Internal::TargetConnection>(
                m_eventLoop.context(), m_eventLoop.timers(), m_limits, *this, dispatch.target.value);
            m_exchangesByConnection.emplace(exchange->connection.get(), exchange);
            exchange->connection->connectAndSend(target.endpoint, *exchange->head, first.data, first.isLast);
        }
        for (std::size_t n = 1; n < exchange->bodyChunks.size(); ++n) {
            exchange->connection->sendBody(exchange->bodyChunks[n].data, exchange->bodyChunks[n].isLast);
        }
    }

    void apply(const Scheduling::Refuse &refuse)
    {
        Exchange *exchange = find(ExchangeId{refuse.request.value});
        if (!exchange) {
            return;
        }
        Failure failure{Internal::statusFor(refuse.reason, refuse.verdict),
                        refuse.verdict,
                        std::string(Scheduling::toString(refuse.reason)),
                        std::nullopt};
        if (refuse.retryAfter > Base::Duration::zero()) {
            failure.retryAfter = refuse.retryAfter;
        }
        if (exchange->connection) {
            endAttempt(*exchange, Scheduling::AttemptOutcome::ConnectionLostAfterSend);
        }
        failExchange(*exchange, std::move(failure));
    }

    void apply(const Scheduling::Deliver &deliver)
    {
        Exchange *exchange = find(ExchangeId{deliver.request.value});
        if (!exchange) {
            return;
        }
        if (exchange->fallbackHead) {
            bufferForReplay(*exchange, exchange->fallbackHead.get(), exchange->fallbackBody);
        }
        recordOutcome(*exchange, Base::Verdict::Ran);
        if (exchange->fallbackHead && !exchange->isCallerDisconnected) {
            send(OpenResponse{
                exchange->id, std::move(exchange->fallbackHead), std::move(exchange->fallbackBody), true});
        }
        countAnswered(*exchange);
        removeExchange(*exchange);
    }

    void countAnswered(const Exchange &exchange)
    {
        m_counters.answered.fetch_add(1, std::memory_order_relaxed);
        m_tracer.ended(
            exchange.trace,
            {exchange.service.value, exchange.status, std::nullopt, now() - exchange.trace.receivedAt},
            {},
            now());
    }

    /// Ends the exchange with a failure instead of a response from a target.
    void failExchange(Exchange &exchange, Failure failure)
    {
        auto &counter = failure.verdict == Base::Verdict::NotRun ? m_counters.refused : m_counters.failed;
        counter.fetch_add(1, std::memory_order_relaxed);
        logFailure(exchange, failure);
        m_tracer.ended(
            exchange.trace,
            {exchange.service.value, failure.status, failure.verdict, now() - exchange.trace.receivedAt},
            failure.reason,
            now());
        recordOutcome(exchange, failure.verdict);
        if (!exchange.isCallerDisconnected) {
            sendFailure(exchange.id, std::move(failure));
        }
        removeExchange(exchange);
    }

    void logFailure(const Exchange &exchange, const Failure &failure)
    {
        Base::LogLine(Base::LogLevel::Info, "request-failed")
            .with("exchange", exchange.id.value)
            .with("method", exchange.head->method)
            .with("target", exchange.head->target)
            .with("status", failure.status)
            .with("verdict", Base::toString(failure.verdict))
            .with("reason", failure.reason);
    }

    void removeExchange(Exchange &exchange)
    {
        releaseConnection(exchange);
        m_bufferedBytes -= exchange.bufferedBytes;
        m_exchanges.erase(exchange.id);
        m_counters.inFlight.store(m_exchanges.size(), std::memory_order_relaxed);
    }

    SlotPort m_slotPort;
    std::optional<Scheduling::SlotLedger> m_ledger;
    Base::Instant m_slotsCheckedAt;
    Base::OneShotTimer m_schedulerTimer;
    std::optional<Base::Instant> m_schedulerDueAt;
    std::shared_ptr<const RoutingTable> m_routingTable;
    std::unordered_map<Base::ServiceName, Scheduling::ServiceId> m_serviceIds;
    std::unordered_map<Base::InstanceName, Scheduling::TargetId> m_targetIds;
    std::unordered_map<Scheduling::TargetId, Target> m_targets;
    std::unordered_map<ExchangeId, std::unique_ptr<Exchange>> m_exchanges;
    std::unordered_map<const Internal::TargetConnection *, Exchange *> m_exchangesByConnection;
    std::size_t m_bufferedBytes = 0; ///< of bodies, for other attempts, over all exchanges
    Internal::ConnectionPool m_pool;
    std::vector<Scheduling::Decision> m_decisions;
    bool m_isProcessingDecisions = false;
};

template<SchedulerConcept Scheduler>
TargetDispatcher<Scheduler>::TargetDispatcher(Runtime::EventLoopThread &eventLoop,
                                              const TargetLimits &limits,
                                              const Scheduling::SchedulerLimits &schedulerLimits,
                                              std::uint64_t seed)
    : d(std::make_unique<Private>(eventLoop, limits, schedulerLimits, seed))
{
}

template<SchedulerConcept Scheduler>
TargetDispatcher<Scheduler>::~TargetDispatcher() = default;

template<SchedulerConcept Scheduler>
void TargetDispatcher<Scheduler>::setOutput(Base::Ring<ToCallers> &output)
{
    d->m_output.setRing(output);
}

template<SchedulerConcept Scheduler>
void TargetDispatcher<Scheduler>::setTelemetry(Telemetry::EventSink &sink)
{
    d->m_tracer.setSink(&sink);
}

template<SchedulerConcept Scheduler>
void TargetDispatcher<Scheduler>::setClaims(ClaimPort &&port)
{
    d->m_claims = std::move(port);
}

template<SchedulerConcept Scheduler>
void TargetDispatcher<Scheduler>::receive(ClaimReply &&reply)
{
    d->receive(std::move(reply));
}

template<SchedulerConcept Scheduler>
void TargetDispatcher<Scheduler>::enableSlotSharing(SlotPort port) requires SharesSlots<Scheduler>
{
    d->enableSlotSharing(std::move(port));
}

template<SchedulerConcept Scheduler>
void TargetDispatcher<Scheduler>::setEpoch(const Scheduling::MembershipEpoch &epoch) requires
    SharesSlots<Scheduler>
{
    d->setEpoch(epoch);
}

template<SchedulerConcept Scheduler>
void TargetDispatcher<Scheduler>::stopSlotSharing() requires SharesSlots<Scheduler>
{
    d->stopSlotSharing();
}

template<SchedulerConcept Scheduler>
void TargetDispatcher<Scheduler>::receive(const Scheduling::SlotMessage &message) requires
    SharesSlots<Scheduler>
{
    d->receive(message);
}

template<SchedulerConcept Scheduler>
void TargetDispatcher<Scheduler>::receive(ToTargets &&message)
{
    d->receive(std::move(message));
}

template<SchedulerConcept Scheduler>
void TargetDispatcher<Scheduler>::setRouting(std::shared_ptr<const RoutingTable> table)
{
    d->setRouting(std::move(table));
}

template<SchedulerConcept Scheduler>
std::uint32_t TargetDispatcher<Scheduler>::inFlightOn(const Base::InstanceName &instance) const
{
    return d->inFlightOn(instance);
}

template<SchedulerConcept Scheduler>
std::vector<InstanceInFlight> TargetDispatcher<Scheduler>::inFlight() const
{
    return d->inFlight();
}

template<SchedulerConcept Scheduler>
Scheduler &TargetDispatcher<Scheduler>::scheduler()
{
    return d->m_scheduler;
}

template<SchedulerConcept Scheduler>
const TargetCounters &TargetDispatcher<Scheduler>::counters() const
{
    return d->m_counters;
}

} // namespace Gateway
