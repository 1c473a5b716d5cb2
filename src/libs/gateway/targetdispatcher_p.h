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

/// The HTTP status that tells the caller of a refusal; the verdict goes with it.
unsigned statusFor(Scheduling::RefusalReason reason, Base::Verdict verdict);

/// True when the target's own answer says that it did not execute the request.
bool isRefusalByTarget(const ResponseHead &head);

/// As spans and answers have it.
std::string_view toString(Claims::AnswerKind kind);

/// As spans have it.
std::string_view toString(Scheduling::AttemptOutcome outcome);

Document::Priority priorityFor(const RequestHead &head, Document::Priority ofService);

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
        , m_wakeUp(eventLoop.timers())
        , m_table(std::make_shared<RoutingTable>())
    {
    }

    void receive(ToTargets &&message)
    {
        holdSlotsAfterPause();
        if (auto *open = std::get_if<OpenExchange>(&message)) {
            openExchange(std::move(*open));
        } else if (auto *body = std::get_if<RequestBody>(&message)) {
            onRequestBody(std::move(*body));
        } else if (const auto *credit = std::get_if<ResponseCredit>(&message)) {
            onResponseCredit(credit->id);
        } else if (const auto *gone = std::get_if<CallerGone>(&message)) {
            onCallerGone(gone->id);
        }
        execute();
    }

    void receive(ClaimReply &&reply)
    {
        if (const auto *grant = std::get_if<Claims::Grant>(&reply)) {
            onGrant(*grant);
        } else {
            onClaimAnswer(std::get<Claims::ClaimAnswer>(std::move(reply)));
        }
        execute();
    }

    void setRouting(std::shared_ptr<const RoutingTable> table)
    {
        m_table = std::move(table);
        std::vector<Scheduling::ServiceSpec> services;
        for (const auto &it : m_table->services()) {
            services.push_back({serviceId(it.name), it.pool, it.availability});
        }
        std::vector<Scheduling::TargetSpec> targets;
        for (const auto &it : m_table->targets()) {
            const auto id = targetId(it);
            targets.push_back({id, it.instance, it.pool, it.zone, it.slots, it.connections, it.isDraining});
        }
        m_scheduler.setFleet(services, targets);
        if (m_ledger) {
            changeSlots([&](auto &ledger, auto &out) { ledger.setTargets(targets, now(), out); });
        }
        m_scheduler.advance(now(), m_decisions);
        execute();
    }

    void enableSlotSharing(SlotPort port) requires SharesSlots<Scheduler>
    {
        m_slotPort = std::move(port);
        m_ledger.emplace(m_slotPort.limits, m_slotPort.self, [this](Scheduling::TargetId id) {
            return m_scheduler.usageOf(id);
        });
        m_eventLoop.timers().subscribeEvery(m_slotPort.limits.borrowPeriod, [this] { observeSlots(); });
        setRouting(m_table);
    }

    void observeSlots() requires SharesSlots<Scheduler>
    {
        const auto pools = m_scheduler.statistics().pools;
        changeSlots([&](auto &ledger, auto &out) {
            ledger.advance(now(), out);
            ledger.updateDemand(pools, now(), out);
        });
        execute();
    }

    void setEpoch(const Scheduling::MembershipEpoch &epoch)
    {
        if (m_ledger) {
            changeSlots([&](auto &ledger, auto &out) { ledger.setEpoch(epoch, now(), out); });
            execute();
        }
    }

    void stopSlotSharing()
    {
        if (m_ledger) {
            changeSlots([&](auto &ledger, auto &out) { ledger.leave(now(), out); });
        }
    }

    void receive(const Scheduling::SlotMessage &message)
    {
        if (m_ledger) {
            changeSlots([&](auto &ledger, auto &out) { ledger.receive(message, now(), out); });
            execute();
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
        ++exchange->piecesSent;
        if (exchange->piecesSent > exchange->creditsGiven) {
            exchange->creditsGiven = exchange->piecesSent;
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
        auto held = std::make_unique<ResponseHead>(std::move(head));
        if (Internal::isRefusalByTarget(*held)) {
            endAttempt(*exchange, Scheduling::AttemptOutcome::RefusedByTarget);
        } else if (isLast && held->status >= FirstServerError && canResend(*exchange)) {
            exchange->status = held->status;
            exchange->heldHead = std::move(held);
            exchange->heldBody = std::move(chunk);
            endAttempt(*exchange, Scheduling::AttemptOutcome::Answered, true);
        } else {
            exchange->status = held->status;
            exchange->isServerError = held->status >= FirstServerError;
            exchange->phase = Exchange::Phase::Responding;
            exchange->giveUpTimer.disarm();
            dropPieces(*exchange);
            keepForRepeats(*exchange, held.get(), chunk);
            passOn(*exchange, OpenResponse{exchange->id, std::move(held), std::move(chunk), isLast});
            if (isLast) {
                endAttempt(*exchange, Scheduling::AttemptOutcome::Answered, exchange->isServerError);
            }
        }
        execute();
    }

    void onResponseBody(Internal::TargetConnection &connection, std::string chunk, bool isLast) override
    {
        Exchange *exchange = exchangeOn(connection);
        if (!exchange) {
            connection.close();
            return;
        }
        keepForRepeats(*exchange, nullptr, chunk);
        passOn(*exchange, ResponseBody{exchange->id, std::move(chunk), isLast});
        if (isLast) {
            endAttempt(*exchange, Scheduling::AttemptOutcome::Answered, exchange->isServerError);
            execute();
        }
    }

    void onBroken(Internal::TargetConnection &connection, Internal::Break reason, bool mayHaveSent) override
    {
        if (reason == Internal::Break::Silent) {
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
        execute();
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

    /// Changes the ledger and carries out what it decides, before any request is placed.
    template<typename Change>
    void changeSlots(Change change)
    {
        if constexpr (SharesSlots<Scheduler>) {
            Scheduling::SlotDecisions decisions;
            change(*m_ledger, decisions);
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

    // A thread that was paused may wake with a request before its timers: what it knew of its slots may be
    // void by then.
    void holdSlotsAfterPause()
    {
        if (m_ledger && now() - m_slotsCheckedAt > m_slotPort.limits.staleAfter) {
            changeSlots([&](auto &ledger, auto &out) { ledger.advance(now(), out); });
        }
    }

    Scheduling::ServiceId serviceId(const Base::ServiceName &name)
    {
        const auto next = static_cast<std::uint32_t>(m_serviceIds.size());
        return m_serviceIds.try_emplace(name, Scheduling::ServiceId{next}).first->second;
    }

    // An instance whose address changed is another target: connections to the old address are dropped.
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
        const auto it = m_byConnection.find(&connection);
        return it == m_byConnection.end() ? nullptr : it->second;
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

    void fail(ExchangeId id, Failure failure)
    {
        send(ExchangeFailed{id, std::make_unique<Failure>(std::move(failure))});
    }

    void openExchange(OpenExchange &&message)
    {
        m_counters.exchanges.fetch_add(1, std::memory_order_relaxed);
        const auto match = m_table->find(message.head->method, message.head->target);
        if (!match) {
            m_counters.unknownService.fetch_add(1, std::memory_order_relaxed);
            fail(message.id, {404, Base::Verdict::NotRun, "unknown-service", std::nullopt});
            return;
        }
        const RoutedService &service = m_table->services()[match->service];
        auto exchange = std::make_unique<Exchange>(m_eventLoop.timers());
        exchange->id = message.id;
        exchange->service = service.name;
        exchange->trace = m_tracer.begin(message.head->traceParent, message.head->receivedAt);
        exchange->isIdempotent = match->isIdempotent;
        exchange->priority = Internal::priorityFor(*message.head, service.priority);
        const Base::Duration asked = message.head->deadline.value_or(service.deadline);
        exchange->deadline = message.head->receivedAt + std::min(asked, m_table->longestDeadline());
        exchange->head = std::move(message.head);
        keepPiece(*exchange, {std::move(message.chunk), message.isLast});
        Exchange &opened = *exchange;
        m_exchanges.emplace(opened.id, std::move(exchange));
        m_counters.inFlight.store(m_exchanges.size(), std::memory_order_relaxed);
        if (!opened.isIdempotent && !opened.head->idempotencyKey.empty()) {
            claim(opened);
        } else {
            arrive(opened);
        }
    }

    void arrive(Exchange &exchange)
    {
        exchange.phase = Exchange::Phase::Queued;
        const Scheduling::Arrival arrival{Scheduling::RequestId{exchange.id.value},
                                          serviceId(exchange.service),
                                          exchange.priority,
                                          exchange.deadline,
                                          exchange.isIdempotent};
        m_scheduler.arrive(arrival, now(), m_decisions);
    }

    // The fingerprint tells a repeat from another request that was given the same key by mistake.
    void claim(Exchange &exchange)
    {
        exchange.phase = Exchange::Phase::Claiming;
        const std::string length = exchange.head->length ? std::to_string(*exchange.head->length) : "";
        const std::array<std::string_view, 4> parts{
            exchange.head->method, exchange.head->target, length, exchange.pieces.front().chunk};
        const Claims::ClaimRequest request{
            exchange.id.value,
            Claims::digestOf(exchange.service.value, exchange.head->idempotencyKey),
            Claims::fingerprintOf(parts),
            exchange.deadline};
        if (!m_claims.claim || !m_claims.claim(request)) {
            end(exchange, {503, Base::Verdict::NotRun, "claims-not-taken", ClaimRetryAfter});
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
        if (exchange->isCallerGone) {
            end(*exchange, {503, Base::Verdict::NotRun, "cancelled", std::nullopt});
            return;
        }
        arrive(*exchange);
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
        end(*exchange, std::move(failure));
    }

    void deliverStored(Exchange &exchange, Internal::StoredAnswer stored)
    {
        exchange.status = stored.head.status;
        if (!exchange.isCallerGone) {
            auto head = std::make_unique<ResponseHead>(std::move(stored.head));
            send(OpenResponse{exchange.id, std::move(head), std::move(stored.body), true});
        }
        countAnswered(exchange);
        erase(exchange);
    }

    /// Keeps what may be asked for again under the request's key.
    void keepForRepeats(Exchange &exchange, const ResponseHead *head, std::string_view chunk)
    {
        if (!exchange.isKeyGranted || !exchange.isAnswerKept) {
            return;
        }
        if (head) {
            exchange.keptHead = std::make_unique<ResponseHead>(*head);
        }
        exchange.keptBody += chunk;
        if (exchange.keptBody.size() > m_limits.storedAnswerBytes) {
            exchange.isAnswerKept = false;
            exchange.keptBody.clear();
        }
    }

    void recordOutcome(Exchange &exchange, Base::Verdict verdict)
    {
        if (!std::exchange(exchange.isKeyGranted, false)) {
            return;
        }
        if (verdict == Base::Verdict::NotRun) {
            m_claims.finish(exchange.id.value, Claims::RequestNotRun{});
        } else if (verdict == Base::Verdict::MayHaveRun || !exchange.keptHead) {
            m_claims.finish(exchange.id.value, Claims::RequestMayHaveRun{});
        } else {
            // An answer too large to keep is handed over as such: the record then says that it ran.
            auto answer = Internal::encodeAnswer(*exchange.keptHead, exchange.keptBody);
            if (!exchange.isAnswerKept) {
                answer.resize(m_limits.storedAnswerBytes + 1);
            }
            m_claims.finish(
                exchange.id.value,
                Claims::RequestCompleted{static_cast<std::uint16_t>(exchange.status), std::move(answer)});
        }
    }

    void keepPiece(Exchange &exchange, Internal::BodyPiece piece)
    {
        exchange.isBodyWhole = piece.isLast;
        exchange.pieceBytes += piece.chunk.size();
        exchange.pieces.push_back(std::move(piece));
    }

    void dropPieces(Exchange &exchange)
    {
        exchange.isBodyKept = false;
        exchange.pieces.clear();
    }

    bool canResend(const Exchange &exchange) const
    {
        return exchange.isBodyKept && exchange.phase != Exchange::Phase::Responding && !exchange.isCallerGone;
    }

    void onRequestBody(RequestBody &&message)
    {
        Exchange *exchange = find(message.id);
        if (!exchange) {
            return;
        }
        exchange->isBodyWhole = message.isLast;
        if (exchange->isBodyKept && exchange->pieceBytes + message.chunk.size() > m_limits.resendBytes
            && exchange->connection) {
            dropPieces(*exchange);
        }
        if (exchange->connection) {
            exchange->connection->sendBody(message.chunk, message.isLast);
        }
        if (exchange->isBodyKept) {
            keepPiece(*exchange, {std::move(message.chunk), message.isLast});
        }
    }

    void onResponseCredit(ExchangeId id)
    {
        Exchange *exchange = find(id);
        if (exchange && exchange->connection) {
            exchange->connection->giveResponseCredit();
        }
    }

    // A non-idempotent request that was sent whole goes on, so that its outcome gets known; what nobody
    // waits for otherwise is ended.
    void onCallerGone(ExchangeId id)
    {
        Exchange *exchange = find(id);
        if (!exchange) {
            return;
        }
        exchange->isCallerGone = true;
        if (exchange->phase == Exchange::Phase::Claiming) {
            return;
        }
        const bool isWorthwhile = exchange->connection && !exchange->isIdempotent && exchange->isBodyWhole;
        if (isWorthwhile) {
            for (std::uint32_t n = 0; n < ChunkWindow; ++n) {
                exchange->connection->giveResponseCredit();
            }
            return;
        }
        m_scheduler.cancel(Scheduling::RequestId{id.value}, now(), m_decisions);
    }

    void passOn(Exchange &exchange, ToCallers &&message)
    {
        if (exchange.isCallerGone) {
            exchange.connection->giveResponseCredit();
            return;
        }
        send(std::move(message));
    }

    void giveUp(ExchangeId id)
    {
        Exchange *exchange = find(id);
        if (exchange && exchange->phase == Exchange::Phase::Attempting) {
            endAttempt(*exchange, Scheduling::AttemptOutcome::TimedOut);
            execute();
        }
    }

    static Scheduling::AttemptOutcome outcomeOf(Internal::Break reason, bool mayHaveSent)
    {
        if (!mayHaveSent) {
            return Scheduling::AttemptOutcome::ConnectFailed;
        }
        return reason == Internal::Break::Silent ? Scheduling::AttemptOutcome::TimedOut
                                                 : Scheduling::AttemptOutcome::ConnectionLostAfterSend;
    }

    // Frees the connection first: it goes back to the pool only when the response is whole and nothing is
    // left on it that could be taken for the next one's.
    void endAttempt(Exchange &exchange, Scheduling::AttemptOutcome outcome, bool isServerError = false)
    {
        releaseConnection(exchange);
        exchange.giveUpTimer.disarm();
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
        m_byConnection.erase(connection.get());
        Target &target = m_targets.at(exchange.target);
        --target.inFlight;
        if (connection->isReusable()) {
            m_pool.put(connection, target.slots);
        } else {
            connection->close();
        }
    }

    // Decisions are carried out until none is left; carrying one out may add others.
    void execute()
    {
        if (m_isExecuting) {
            return;
        }
        m_isExecuting = true;
        for (std::size_t n = 0; n < m_decisions.size(); ++n) {
            const Scheduling::Decision decision = m_decisions[n];
            std::visit([this](const auto &it) { this->carryOut(it); }, decision);
        }
        m_decisions.clear();
        m_isExecuting = false;
        armWakeUp();
    }

    void armWakeUp()
    {
        const auto due = m_scheduler.nextDue();
        if (due == m_wakeUpAt) {
            return;
        }
        m_wakeUpAt = due;
        if (!due) {
            m_wakeUp.disarm();
            return;
        }
        m_wakeUp.armAt(*due, [this] {
            m_wakeUpAt.reset();
            m_scheduler.advance(now(), m_decisions);
            execute();
        });
    }

    void carryOut(const Scheduling::Dispatch &dispatch)
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
        exchange->piecesSent = 0;
        exchange->giveUpTimer.armAt(dispatch.attemptDeadline, [this, id = exchange->id] { giveUp(id); });
        exchange->heldHead.reset();
        exchange->heldBody.clear();
        const auto notBefore =
            exchange->isIdempotent ? Base::Instant{} : now() - m_limits.nonIdempotentReuseAge;
        exchange->connection = m_pool.take(dispatch.target.value, notBefore);
        const auto &first = exchange->pieces.front();
        if (exchange->connection) {
            m_byConnection.emplace(exchange->connection.get(), exchange);
            exchange->connection->send(*exchange->head, first.chunk, first.isLast);
        } else {
            exchange->connection = std::make_shared<Internal::TargetConnection>(
                m_eventLoop.context(), m_eventLoop.timers(), m_limits, *this, dispatch.target.value);
            m_byConnection.emplace(exchange->connection.get(), exchange);
            exchange->connection->connectAndSend(target.endpoint, *exchange->head, first.chunk, first.isLast);
        }
        for (std::size_t n = 1; n < exchange->pieces.size(); ++n) {
            exchange->connection->sendBody(exchange->pieces[n].chunk, exchange->pieces[n].isLast);
        }
    }

    void carryOut(const Scheduling::Refuse &refuse)
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
        end(*exchange, std::move(failure));
    }

    void carryOut(const Scheduling::Deliver &deliver)
    {
        Exchange *exchange = find(ExchangeId{deliver.request.value});
        if (!exchange) {
            return;
        }
        if (exchange->heldHead) {
            keepForRepeats(*exchange, exchange->heldHead.get(), exchange->heldBody);
        }
        recordOutcome(*exchange, Base::Verdict::Ran);
        if (exchange->heldHead && !exchange->isCallerGone) {
            send(OpenResponse{
                exchange->id, std::move(exchange->heldHead), std::move(exchange->heldBody), true});
        }
        countAnswered(*exchange);
        erase(*exchange);
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

    /// Ends the exchange without a target's answer.
    void end(Exchange &exchange, Failure failure)
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
        if (!exchange.isCallerGone) {
            fail(exchange.id, std::move(failure));
        }
        erase(exchange);
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

    void erase(Exchange &exchange)
    {
        releaseConnection(exchange);
        m_exchanges.erase(exchange.id);
        m_counters.inFlight.store(m_exchanges.size(), std::memory_order_relaxed);
    }

    SlotPort m_slotPort;
    std::optional<Scheduling::SlotLedger> m_ledger;
    Base::Instant m_slotsCheckedAt;
    Base::OneShotTimer m_wakeUp;
    std::optional<Base::Instant> m_wakeUpAt;
    std::shared_ptr<const RoutingTable> m_table;
    std::unordered_map<Base::ServiceName, Scheduling::ServiceId> m_serviceIds;
    std::unordered_map<Base::InstanceName, Scheduling::TargetId> m_targetIds;
    std::unordered_map<Scheduling::TargetId, Target> m_targets;
    std::unordered_map<ExchangeId, std::unique_ptr<Exchange>> m_exchanges;
    std::unordered_map<const Internal::TargetConnection *, Exchange *> m_byConnection;
    Internal::ConnectionPool m_pool;
    std::vector<Scheduling::Decision> m_decisions;
    bool m_isExecuting = false;
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
