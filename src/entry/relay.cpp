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
/// How much longer than the deadline an instance waits for the home.
constexpr Millis kHomeGrace{ 3000 };

Outcome
failure(Verdict verdict, std::string reason)
{
  Outcome outcome;
  outcome.verdict = verdict;
  outcome.reason = std::move(reason);
  return outcome;
}

core::DispatcherBarReply
answerOf(const std::optional<wire::BarReply>& reply)
{
  core::DispatcherBarReply answer;
  if (!reply) {
    return answer;
  }
  switch (reply->state) {
    case wire::BarState::Barred:
      answer.state = core::DispatcherBarReply::State::Barred;
      break;
    case wire::BarState::Started:
      answer.state = core::DispatcherBarReply::State::Started;
      break;
    case wire::BarState::Finished:
      if (reply->outcome) {
        answer.state = core::DispatcherBarReply::State::Finished;
        answer.outcome = *reply->outcome;
        answer.answer = reply->answer;
      }
      break;
  }
  return answer;
}

/// Answers of the whole dispatch set as they come.
struct BarRound
{
  explicit BarRound(net::asio::io_context& io)
    : wake(io)
  {
  }

  std::vector<core::DispatcherBarReply> answers;
  std::size_t missing = 0;
  net::asio::steady_timer wake;
};

net::Awaitable<void>
barOne(DispatchClient& client,
       core::ProcessId dispatcher,
       std::string request,
       std::shared_ptr<BarRound> round,
       std::size_t index)
{
  const auto reply =
    co_await client.bar(std::move(dispatcher), std::move(request), kBarTimeout);
  round->answers[index] = answerOf(reply);
  if (--round->missing == 0) {
    round->wake.cancel();
  }
}

} // namespace

struct Relay::Forward
{
  core::RequestId id;
  core::Ticket ticket;
  core::Work work;
  core::TimePoint deadline;
  std::shared_ptr<AnswerStream> out;
  std::shared_ptr<net::CancelSignal> cancel =
    std::make_shared<net::CancelSignal>();
  bool hasChunks = false;

  Millis remaining() const
  {
    return std::chrono::duration_cast<Millis>(deadline - core::Clock::now());
  }
};

Relay::Relay(node::Node& node,
             DispatchClient& client,
             std::shared_ptr<OrderService> orders,
             const core::TicketSigner& sealer)
  : mNode(node)
  , mClient(client)
  , mOrders(std::move(orders))
  , mSealer(sealer)
{
}

std::shared_ptr<AnswerStream>
Relay::submit(core::RequestId id,
              core::Ticket ticket,
              core::Work work,
              Millis remaining)
{
  if (ticket.home == mNode.self()) {
    return mOrders->submit(id, ticket, std::move(work), remaining);
  }
  const auto request = std::make_shared<Forward>();
  request->id = std::move(id);
  request->ticket = std::move(ticket);
  request->work = std::move(work);
  request->deadline = core::Clock::now() + remaining;
  request->out = std::make_shared<AnswerStream>(mNode.io());
  request->out->onClose([cancel = request->cancel] { cancel->cancel(); });
  mNode.metrics().increment("relayed_total");
  net::spawn(mNode.io(), forward(request), shared_from_this());
  return request->out;
}

net::Awaitable<void>
Relay::forward(std::shared_ptr<Forward> request)
{
  const bool isAnswered = co_await tryHome(request);
  if (isAnswered) {
    co_return;
  }
  mNode.metrics().increment("home_lost_total");
  if (request->work.idempotent && !request->hasChunks) {
    co_await runHere(request);
    co_return;
  }
  const auto answers = co_await barAll(request);
  auto outcome = core::outcomeFromBarReplies(answers);
  if (outcome.verdict == Verdict::Done && !request->hasChunks) {
    outcome = deliver(*request, answers, std::move(outcome));
  }
  if (request->hasChunks && outcome.verdict == Verdict::NotRun) {
    outcome = failure(Verdict::Unknown, "home_lost");
  }
  mNode.metrics().increment("home_lost_verdict_total{verdict=\"" +
                            wire::verdictName(outcome.verdict) + "\"}");
  request->out->end(std::move(outcome));
}

net::Awaitable<bool>
Relay::tryHome(std::shared_ptr<Forward> request)
{
  const auto* home = mNode.members().find(request->ticket.home);
  if (home == nullptr) {
    co_return false;
  }
  wire::RelayRequest message{
    request->id.text(), request->ticket.home, request->work, Millis(0)
  };
  net::LinkCallOptions options;
  options.timeout = request->remaining() + kHomeGrace;
  // The home decides about the deadline too, so an expired one is sent as 0.
  options.beforeSend = [request](wire::Json& body) {
    body["remaining_ms"] = std::max(request->remaining(), Millis(0)).count();
    return true;
  };
  options.cancel = request->cancel;
  options.onEvent = [request](const wire::Json& event) {
    auto chunk = wire::decode<core::Chunk>(event);
    if (chunk) {
      request->hasChunks = true;
      request->out->push(std::move(chunk).value());
    }
  };
  const auto link = mNode.links().to(home->link);
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
  request->out->end(std::move(outcome).value());
  co_return true;
}

net::Awaitable<void>
Relay::runHere(std::shared_ptr<Forward> request)
{
  const auto stream =
    mOrders->runForLostHome(request->id, request->work, request->remaining());
  const auto hook = request->cancel->add([stream] { stream->close(); });
  for (;;) {
    auto chunk = co_await stream->next();
    if (!chunk) {
      break;
    }
    request->out->push(std::move(*chunk));
  }
  request->cancel->remove(hook);
  request->out->end(
    stream->outcome().value_or(failure(Verdict::Unknown, "cancelled")));
}

Outcome
Relay::deliver(Forward& request,
               const std::vector<core::DispatcherBarReply>& answers,
               Outcome outcome)
{
  for (const auto& answer : answers) {
    const auto whole = core::outcomeIfComplete(answer.outcome, answer.answer);
    if (whole) {
      for (const auto& chunk : answer.answer) {
        request.out->push(chunk);
      }
      return *whole;
    }
  }
  return outcome;
}

net::Awaitable<std::vector<core::DispatcherBarReply>>
Relay::barAll(std::shared_ptr<Forward> request)
{
  const auto& dispatchers = request->ticket.dispatchers;
  const auto round = std::make_shared<BarRound>(mNode.io());
  round->answers.resize(dispatchers.size());
  round->missing = dispatchers.size();
  for (std::size_t i = 0; i < dispatchers.size(); ++i) {
    net::spawn(mNode.io(),
               barOne(mClient, dispatchers[i], request->id.text(), round, i),
               shared_from_this());
  }
  while (round->missing > 0) {
    round->wake.expires_at(core::TimePoint::max());
    boost::system::error_code ignored;
    co_await round->wake.async_wait(
      net::asio::redirect_error(net::asio::use_awaitable, ignored));
  }
  co_return std::move(round->answers);
}

void
Relay::addHandler(net::LinkServer& server)
{
  server.handle(
    wire::RelayRequest::kType,
    [self = shared_from_this()](std::shared_ptr<net::LinkRequest> request) {
      return self->serve(std::move(request));
    });
}

net::Awaitable<void>
Relay::serve(std::shared_ptr<net::LinkRequest> request)
{
  auto decoded = wire::decode<wire::RelayRequest>(request->body());
  if (!decoded) {
    request->reject(decoded.error().text());
    co_return;
  }
  auto& message = decoded.value();
  const auto id = core::RequestId::parse(message.request);
  const auto ticket = id ? mSealer.verify(id->ticket) : std::nullopt;
  // Each instance verifies for itself; a rejected relay means that this
  // process is not the home.
  if (!ticket || message.home != mNode.self() || ticket->home != mNode.self() ||
      ticket->caller != message.work.principal) {
    request->reject("not the home of this request");
    co_return;
  }
  const auto stream =
    mOrders->submit(*id, *ticket, std::move(message.work), message.remaining);
  request->linkLost()->add([stream] { stream->close(); });
  request->cancelled()->add([stream] { stream->close(); });
  for (;;) {
    const auto chunk = co_await stream->next();
    if (!chunk) {
      break;
    }
    request->event(wire::encode(*chunk));
  }
  auto outcome =
    stream->outcome().value_or(failure(Verdict::Unknown, "cancelled"));
  request->reply(wire::encode(outcome));
}

} // namespace lentilrack::entry
