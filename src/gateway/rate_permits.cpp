#include "gateway/rate_permits.h"

#include "core/json_limits.h"

#include "net/http_status.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;
using core::PermitPriority;
using core::TimePoint;
using Json = nlohmann::json;

/// Time-out of questions to peers. Peers answer within a few milliseconds.
constexpr Millis kPeerTimeout{ 200 };
/// Number of instances that confirm an allocator, and how long a confirmation
/// holds.
constexpr std::size_t kWitnesses = 3;
constexpr Millis kConfirmationLifetime{ 500 };

Millis
ageOf(TimePoint time)
{
  return std::chrono::duration_cast<Millis>(Clock::now() - time);
}

/// Returns the time `age` milliseconds ago. An age outside of the plausible
/// range, which only a malformed message has, is clamped.
TimePoint
timeBefore(std::int64_t age)
{
  constexpr Millis kMaxAge{ std::chrono::hours(1) };
  return Clock::now() - std::clamp(Millis(age), Millis(0), kMaxAge);
}

/// Returns the message, or nothing if a field is missing or has another type.
template<typename Message, typename Function>
std::optional<Message>
decodeMessage(const std::string& body, Function decode)
{
  try {
    return decode(core::parseJson(body));
  } catch (const core::JsonError&) {
    return std::nullopt;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

core::PermitDecision
refusal(Millis delay)
{
  return { false, delay, delay };
}

} // namespace

RatePermits::RatePermits(Context& context,
                         ClusterView& cluster,
                         PeerClient& peers)
  : mContext(context)
  , mCluster(cluster)
  , mPeers(peers)
{
  mContext.servers.setPermitSource(
    [this](core::ServerEntry server, PermitPriority priority) {
      return acquire(std::move(server), priority);
    });
  mContext.servers.onRateChange(
    [this](const core::ServerEntry& server) { reportRate(server); });
}

std::optional<RatePermits::Question>
RatePermits::questionFor(const core::ServerEntry& server,
                         PermitPriority priority)
{
  const auto* state = mContext.registry.find(server.id, server.startedAt);
  if (state == nullptr) {
    return std::nullopt;
  }
  return Question{ server.id, server.startedAt,  mContext.settings.instance,
                   priority,  state->statedRate, state->rateStatedAt };
}

std::string
RatePermits::encode(const Question& question)
{
  return Json{
    { "server", question.server },
    { "started", question.startedAt },
    { "instance", question.instance },
    { "background", question.priority == PermitPriority::Background },
    { "per_s", question.rate ? Json(*question.rate) : Json() },
    { "age_ms", ageOf(question.rateStatedAt).count() }
  }.dump();
}

std::optional<RatePermits::Question>
RatePermits::decodeQuestion(const std::string& body)
{
  const auto decode = [](const Json& json) {
    Question question;
    question.server = json.at("server").get<std::string>();
    question.startedAt = json.at("started").get<std::int64_t>();
    question.instance = json.at("instance").get<std::string>();
    question.priority = json.at("background").get<bool>()
                          ? PermitPriority::Background
                          : PermitPriority::Interactive;
    if (!json.at("per_s").is_null()) {
      question.rate = json.at("per_s").get<double>();
    }
    question.rateStatedAt = timeBefore(json.at("age_ms").get<std::int64_t>());
    return question;
  };
  return decodeMessage<Question>(body, decode);
}

std::string
RatePermits::encode(const Answer& answer)
{
  return Json{
    { "outcome", static_cast<int>(answer.outcome) },
    { "interactive_ms", answer.decision.nextInteractive.count() },
    { "background_ms", answer.decision.nextBackground.count() },
    { "age_ms", ageOf(answer.rateStatedAt).count() }
  }.dump();
}

std::optional<RatePermits::Answer>
RatePermits::decodeAnswer(const std::string& body)
{
  const auto decode = [](const Json& json) {
    Answer answer;
    const auto outcome = json.at("outcome").get<int>();
    const bool isKnown = outcome >= static_cast<int>(Outcome::Granted) &&
                         outcome <= static_cast<int>(Outcome::NotAllocator);
    answer.outcome =
      isKnown ? static_cast<Outcome>(outcome) : Outcome::NotAllocator;
    answer.decision.isGranted = answer.outcome == Outcome::Granted;
    answer.decision.nextInteractive =
      Millis(json.at("interactive_ms").get<std::int64_t>());
    answer.decision.nextBackground =
      Millis(json.at("background_ms").get<std::int64_t>());
    answer.rateStatedAt = timeBefore(json.at("age_ms").get<std::int64_t>());
    return answer;
  };
  return decodeMessage<Answer>(body, decode);
}

net::Awaitable<bool>
RatePermits::acquire(core::ServerEntry server, PermitPriority priority)
{
  auto question = questionFor(server, priority);
  if (!question) {
    co_return false;
  }
  const auto askedAt = bootTime();
  const auto allocator = mCluster.rateAllocatorOf(server.id);
  Answer received{ Outcome::NotAllocator, {}, {} };
  if (allocator == mContext.settings.instance) {
    received = co_await answer(std::move(*question));
  } else if (!allocator.empty()) {
    received = co_await askPeer(allocator, std::move(*question));
  }
  const auto now = Clock::now();
  switch (received.outcome) {
    case Outcome::NotLimited:
      mContext.registry.recordStatedRate(
        server.id, server.startedAt, std::nullopt, received.rateStatedAt);
      co_return true;
    case Outcome::NotAllocator:
      mContext.registry.recordPermitDecision(
        server, refusal(core::kPermitUnavailableDelay), now);
      co_return false;
    case Outcome::Granted:
    case Outcome::Refused:
      break;
  }
  mContext.registry.recordPermitDecision(server, received.decision, now);
  const bool isCurrent = bootTime() - askedAt <= core::kPermitLifetime;
  co_return received.decision.isGranted&& isCurrent;
}

net::Awaitable<RatePermits::Answer>
RatePermits::askPeer(std::string allocator, Question question)
{
  net::HttpRequest request;
  request.method = "POST";
  request.target = peer_paths::kPermit;
  request.body = encode(question);
  const auto response = co_await mPeers.sendRequest(
    std::move(allocator), std::move(request), kPeerTimeout);
  const bool isAnswered = response && response->status == net::status::kOk;
  const auto decoded = isAnswered ? decodeAnswer(response->body) : std::nullopt;
  co_return decoded.value_or(Answer{ Outcome::NotAllocator, {}, {} });
}

net::Awaitable<net::HttpResponse>
RatePermits::answerQuestion(const net::HttpRequest& request)
{
  net::HttpResponse response;
  auto question = decodeQuestion(request.body);
  if (!question) {
    response.status = net::status::kBadRequest;
    co_return response;
  }
  const auto decided = co_await answer(std::move(*question));
  response.body = encode(decided);
  co_return response;
}

net::Awaitable<RatePermits::Answer>
RatePermits::answer(Question question)
{
  const bool mayDecide = co_await isAllocator(question.server);
  if (!mayDecide) {
    co_return Answer{ Outcome::NotAllocator, {}, {} };
  }
  auto& registry = mContext.registry;
  registry.recordStatedRate(
    question.server, question.startedAt, question.rate, question.rateStatedAt);
  // This process may not have read the server's entry yet.
  const auto* state = registry.find(question.server, question.startedAt);
  const auto rate = state != nullptr ? state->statedRate : question.rate;
  if (!rate) {
    mAllocator.remove(question.server);
    const auto statedAt =
      state != nullptr ? state->rateStatedAt : question.rateStatedAt;
    co_return Answer{ Outcome::NotLimited, {}, statedAt };
  }
  const auto decision = mAllocator.request(
    question.server, *rate, question.instance, question.priority, Clock::now());
  co_return Answer{ decision.isGranted ? Outcome::Granted : Outcome::Refused,
                    decision,
                    {} };
}

net::Awaitable<bool>
RatePermits::isAllocator(std::string server)
{
  if (mContext.isLeaving ||
      mCluster.rateAllocatorOf(server) != mContext.settings.instance) {
    co_return false;
  }
  if (mCluster.isMembershipCurrent()) {
    co_return true;
  }
  co_return co_await isConfirmed(std::move(server));
}

net::Awaitable<bool>
RatePermits::isConfirmed(std::string server)
{
  std::erase_if(mConfirmedUntil,
                [](const auto& item) { return bootTime() >= item.second; });
  if (mConfirmedUntil.contains(server)) {
    co_return true;
  }
  const auto askedAt = bootTime();
  const auto& self = mContext.settings.instance;
  auto witnesses = mCluster.rateAllocators(server, kWitnesses + 1);
  std::erase(witnesses, self);
  std::size_t confirmations = 0;
  for (const auto& witness : witnesses) {
    net::HttpRequest request;
    request.method = "GET";
    request.target = peer_paths::kAllocator + server;
    const auto response =
      co_await mPeers.sendRequest(witness, std::move(request), kPeerTimeout);
    confirmations += response && response->body == self ? 1 : 0;
  }
  const bool isMost = witnesses.empty() || 2 * confirmations > witnesses.size();
  if (isMost) {
    mConfirmedUntil[server] = askedAt + kConfirmationLifetime;
  }
  co_return isMost;
}

net::HttpResponse
RatePermits::nameAllocator(const std::string& server)
{
  net::HttpResponse response;
  response.contentType = "text/plain";
  response.body = mCluster.rateAllocatorOf(server);
  return response;
}

void
RatePermits::reportRate(const core::ServerEntry& server)
{
  const auto allocator = mCluster.rateAllocatorOf(server.id);
  const auto question = questionFor(server, PermitPriority::Interactive);
  if (question && !allocator.empty()) {
    mPeers.notify({ allocator }, peer_paths::kRate, encode(*question));
  }
}

void
RatePermits::applyPeerRate(const std::string& body)
{
  const auto question = decodeQuestion(body);
  if (!question) {
    mContext.log.warning("malformed_peer_rate", { { "bytes", body.size() } });
    return;
  }
  mContext.registry.recordStatedRate(question->server,
                                     question->startedAt,
                                     question->rate,
                                     question->rateStatedAt);
}

} // namespace lentilrack::gateway
