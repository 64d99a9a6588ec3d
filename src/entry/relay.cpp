#include "entry/relay.h"

#include "core/answer_assembler.h"
#include "core/bar_decision.h"
#include "net/error.h"

namespace lentilrack::entry {

using core::Millis;
using core::Outcome;
using core::Verdict;

namespace {

constexpr Millis kBarTimeout{ 2000 };
/// How long an instance still waits for the home's reply after the deadline of
/// the request.
constexpr Millis kHomeReplyGrace{ 3000 };

Outcome
makeOutcome(Verdict verdict, std::string reason)
{
  Outcome outcome;
  outcome.verdict = verdict;
  outcome.reason = std::move(reason);
  return outcome;
}

core::DispatcherBarReply
toDispatcherBarReply(const std::optional<wire::BarReply>& reply)
{
  core::DispatcherBarReply barReply;
  if (!reply) {
    return barReply;
  }
  switch (reply->state) {
    case wire::BarState::Barred:
      barReply.state = core::DispatcherBarReply::State::Barred;
      break;
    case wire::BarState::Started:
      barReply.state = core::DispatcherBarReply::State::Started;
      break;
    case wire::BarState::Finished:
      if (reply->outcome) {
        barReply.state = core::DispatcherBarReply::State::Finished;
        barReply.outcome = *reply->outcome;
        barReply.answer = reply->answer;
      }
      break;
  }
  return barReply;
}

/// Collects the replies to a bar request that is sent to the whole dispatch
/// set, that is, to all dispatchers that the ticket allows to run the request.
struct BarBroadcast
{
  explicit BarBroadcast(net::asio::io_context& io)
    : wake(io)
  {
  }

  std::vector<core::DispatcherBarReply> replies;
  std::size_t pendingReplies = 0;
  net::asio::steady_timer wake;
};

net::Awaitable<void>
barAtDispatcher(DispatchClient& client,
                core::ProcessId dispatcher,
                std::string request,
                std::shared_ptr<BarBroadcast> broadcast,
                std::size_t index)
{
  const auto reply =
    co_await client.bar(std::move(dispatcher), std::move(request), kBarTimeout);
  broadcast->replies[index] = toDispatcherBarReply(reply);
  if (--broadcast->pendingReplies == 0) {
    broadcast->wake.cancel();
  }
}

} // namespace

struct Relay::RelayedRequest
{
  core::RequestId id;
  core::Ticket ticket;
  core::Work work;
  core::TimePoint deadline;
  std::shared_ptr<AnswerStream> answerStream;
  std::shared_ptr<net::CancelSignal> cancel =
    std::make_shared<net::CancelSignal>();
  bool hasSentChunks = false;

  Millis remaining() const
  {
    return std::chrono::duration_cast<Millis>(deadline - core::Clock::now());
  }
};

Relay::Relay(node::Node& node,
             DispatchClient& client,
             std::shared_ptr<OrderService> orderService,
             const core::TicketSigner& signer)
  : mNode(node)
  , mDispatchClient(client)
  , mOrderService(std::move(orderService))
  , mSigner(signer)
{
}

std::shared_ptr<AnswerStream>
Relay::submit(core::RequestId id,
              core::Ticket ticket,
              core::Work work,
              Millis remaining)
{
  if (ticket.home == mNode.self()) {
    return mOrderService->submit(id, ticket, std::move(work), remaining);
  }
  const auto request = std::make_shared<RelayedRequest>();
  request->id = std::move(id);
  request->ticket = std::move(ticket);
  request->work = std::move(work);
  request->deadline = core::Clock::now() + remaining;
  request->answerStream = std::make_shared<AnswerStream>(mNode.io());
  request->answerStream->onClose(
    [cancel = request->cancel] { cancel->cancel(); });
  mNode.metrics().increment("relayed_total");
  net::spawn(mNode.io(), process(request), shared_from_this());
  return request->answerStream;
}

net::Awaitable<void>
Relay::process(std::shared_ptr<RelayedRequest> request)
{
  const bool isAnswered = co_await forwardToHome(request);
  if (isAnswered) {
    co_return;
  }
  mNode.metrics().increment("home_lost_total");
  if (request->work.idempotent && !request->hasSentChunks) {
    co_await runLocally(request);
    co_return;
  }
  const auto replies = co_await barAtAllDispatchers(request);
  auto outcome = core::outcomeFromBarReplies(replies);
  if (outcome.verdict == Verdict::Done && !request->hasSentChunks) {
    outcome = deliverKeptAnswer(*request, replies, std::move(outcome));
  }
  if (request->hasSentChunks && outcome.verdict == Verdict::NotRun) {
    outcome = makeOutcome(Verdict::Unknown, "home_lost");
  }
  mNode.metrics().increment("home_lost_verdict_total{verdict=\"" +
                            wire::verdictName(outcome.verdict) + "\"}");
  request->answerStream->end(std::move(outcome));
}

net::Awaitable<bool>
Relay::forwardToHome(std::shared_ptr<RelayedRequest> request)
{
  const auto* home = mNode.members().find(request->ticket.home);
  if (home == nullptr) {
    co_return false;
  }
  wire::RelayRequest message{
    request->id.text(), request->ticket.home, request->work, Millis(0)
  };
  net::LinkCallOptions options;
  options.timeout = request->remaining() + kHomeReplyGrace;
  // The request is sent even after its deadline, with 0 ms remaining, because
  // the home decides its outcome.
  options.beforeSend = [request](wire::Json& body) {
    body["remaining_ms"] = std::max(request->remaining(), Millis(0)).count();
    return true;
  };
  options.cancel = request->cancel;
  options.onEvent = [request](const wire::Json& event) {
    auto chunk = wire::decode<core::Chunk>(event);
    if (chunk) {
      request->hasSentChunks = true;
      request->answerStream->push(std::move(chunk).value());
    }
  };
  const auto link = mNode.links().clientFor(home->link);
  auto body = wire::encode(message);
  const auto reply = co_await link->call(
    wire::RelayRequest::kType, std::move(body), std::move(options));
  if (reply.error) {
    co_return false;
  }
  auto outcome = wire::decode<Outcome>(reply.body);
  if (!outcome) {
    co_return false;
  }
  request->answerStream->end(std::move(outcome).value());
  co_return true;
}

net::Awaitable<void>
Relay::runLocally(std::shared_ptr<RelayedRequest> request)
{
  const auto stream = mOrderService->runForLostHome(
    request->id, request->work, request->remaining());
  const auto hook = request->cancel->addCallback([stream] { stream->close(); });
  for (;;) {
    auto chunk = co_await stream->next();
    if (!chunk) {
      break;
    }
    request->answerStream->push(std::move(*chunk));
  }
  request->cancel->removeCallback(hook);
  request->answerStream->end(
    stream->outcome().value_or(makeOutcome(Verdict::Unknown, "cancelled")));
}

Outcome
Relay::deliverKeptAnswer(RelayedRequest& request,
                         const std::vector<core::DispatcherBarReply>& replies,
                         Outcome outcome)
{
  for (const auto& barReply : replies) {
    const auto completeOutcome =
      core::outcomeIfComplete(barReply.outcome, barReply.answer);
    if (completeOutcome) {
      for (const auto& chunk : barReply.answer) {
        request.answerStream->push(chunk);
      }
      return *completeOutcome;
    }
  }
  return outcome;
}

net::Awaitable<std::vector<core::DispatcherBarReply>>
Relay::barAtAllDispatchers(std::shared_ptr<RelayedRequest> request)
{
  const auto& dispatchers = request->ticket.dispatchers;
  const auto broadcast = std::make_shared<BarBroadcast>(mNode.io());
  broadcast->replies.resize(dispatchers.size());
  broadcast->pendingReplies = dispatchers.size();
  for (std::size_t i = 0; i < dispatchers.size(); ++i) {
    net::spawn(
      mNode.io(),
      barAtDispatcher(
        mDispatchClient, dispatchers[i], request->id.text(), broadcast, i),
      shared_from_this());
  }
  while (broadcast->pendingReplies > 0) {
    broadcast->wake.expires_at(core::TimePoint::max());
    boost::system::error_code ignored;
    co_await broadcast->wake.async_wait(
      net::asio::redirect_error(net::asio::use_awaitable, ignored));
  }
  co_return std::move(broadcast->replies);
}

void
Relay::addHandler(net::LinkServer& server)
{
  server.registerHandler(
    wire::RelayRequest::kType,
    [self = shared_from_this()](std::shared_ptr<net::LinkRequest> request) {
      return self->handleRelayRequest(std::move(request));
    });
}

net::Awaitable<void>
Relay::handleRelayRequest(std::shared_ptr<net::LinkRequest> request)
{
  auto decoded = wire::decode<wire::RelayRequest>(request->body());
  if (!decoded) {
    request->reject(decoded.error().text());
    co_return;
  }
  auto& message = decoded.value();
  const auto id = core::RequestId::parse(message.request);
  const auto ticket = id ? mSigner.verify(id->ticket) : std::nullopt;
  // Verifies the ticket again instead of relying on the sender. A rejection
  // tells the sender that this process is not the home.
  if (!ticket || message.home != mNode.self() || ticket->home != mNode.self() ||
      ticket->caller != message.work.principal) {
    request->reject("this instance is not the home of the request");
    co_return;
  }
  const auto stream = mOrderService->submit(
    *id, *ticket, std::move(message.work), message.remaining);
  request->linkLostSignal()->addCallback([stream] { stream->close(); });
  request->cancelSignal()->addCallback([stream] { stream->close(); });
  for (;;) {
    const auto chunk = co_await stream->next();
    if (!chunk) {
      break;
    }
    request->sendEvent(wire::encode(*chunk));
  }
  auto outcome =
    stream->outcome().value_or(makeOutcome(Verdict::Unknown, "cancelled"));
  request->reply(wire::encode(outcome));
}

} // namespace lentilrack::entry
