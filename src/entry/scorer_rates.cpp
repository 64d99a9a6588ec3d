#include "entry/scorer_rates.h"

#include "core/takeover_order.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace lentilrack::entry {

using core::Clock;
using core::Millis;

namespace {

constexpr const char* kPermitType = "scorer_permit";
/// Time-out of questions to the allocator, which answers within a few
/// milliseconds.
constexpr Millis kAllocatorTimeout{ 200 };
constexpr std::int64_t kMaxDelayMs = 60'000;

} // namespace

ScorerRates::ScorerRates(node::Node& node)
  : mNode(node)
{
}

void
ScorerRates::addHandler()
{
  mNode.linkServer().registerHandler(
    kPermitType,
    [self = shared_from_this()](std::shared_ptr<net::LinkRequest> request) {
      return self->answer(std::move(request));
    });
}

void
ScorerRates::recordStatedRate(const core::Endpoint& scorer,
                              std::optional<double> rate)
{
  if (!rate) {
    mScorers.erase(scorer);
    mAllocator.remove(scorer.text());
    return;
  }
  auto& known = mScorers[scorer];
  known.perSecond = *rate;
  known.statedAt = Clock::now();
}

std::vector<core::Endpoint>
ScorerRates::preferred(std::vector<core::Endpoint> scorers) const
{
  const auto now = Clock::now();
  const auto isLimited = [&](const core::Endpoint& scorer) {
    const auto found = mScorers.find(scorer);
    return found != mScorers.end() &&
           now - found->second.statedAt < core::kStatedRateRecheckTime;
  };
  if (!std::ranges::all_of(scorers, isLimited)) {
    std::erase_if(scorers, isLimited);
  }
  return scorers;
}

net::Awaitable<Millis>
ScorerRates::takePermit(core::Endpoint scorer)
{
  const auto found = mScorers.find(scorer);
  if (found == mScorers.end()) {
    co_return Millis(0);
  }
  const auto askedAt = Clock::now();
  if (askedAt < found->second.nextPermitAt) {
    co_return std::chrono::ceil<Millis>(found->second.nextPermitAt - askedAt);
  }
  Question question{ scorer.text(),
                     found->second.perSecond,
                     mNode.self().name };
  const auto allocator = allocatorOf(question.scorer);
  std::optional<core::PermitDecision> decision;
  if (allocator == mNode.self().name) {
    decision = decide(question);
  } else {
    decision = co_await askAllocator(allocator, std::move(question));
  }
  const core::PermitDecision unavailable{ false,
                                          core::kPermitUnavailableDelay,
                                          core::kPermitUnavailableDelay };
  const auto received = decision.value_or(unavailable);
  const auto now = Clock::now();
  const auto known = mScorers.find(scorer);
  if (known != mScorers.end()) {
    known->second.nextPermitAt = now + received.nextInteractive;
  }
  // A process that was paused after its question must not use the permit.
  const bool isCurrent = now - askedAt <= core::kPermitLifetime;
  if (received.isGranted && isCurrent) {
    co_return Millis(0);
  }
  co_return std::max(Millis(1), received.nextInteractive);
}

std::string
ScorerRates::allocatorOf(const std::string& scorer) const
{
  std::vector<std::string> names;
  std::ranges::transform(
    mNode.members().liveMembers(core::MemberRole::Entry),
    std::back_inserter(names),
    [](const core::Member& member) { return member.id.name; });
  const auto first =
    core::firstInTakeoverOrder(std::move(names), "scorer/" + scorer, 1);
  return first.empty() ? mNode.self().name : first.front();
}

std::optional<core::PermitDecision>
ScorerRates::decide(const Question& question)
{
  // The others may have chosen a successor of a process that is isolated.
  if (mNode.isIsolated() || allocatorOf(question.scorer) != mNode.self().name) {
    return std::nullopt;
  }
  return mAllocator.request(question.scorer,
                            question.perSecond,
                            question.instance,
                            core::PermitPriority::Interactive,
                            Clock::now());
}

net::Awaitable<std::optional<core::PermitDecision>>
ScorerRates::askAllocator(std::string allocator, Question question)
{
  const auto* member = mNode.members().find(allocator);
  if (member == nullptr) {
    co_return std::nullopt;
  }
  wire::Json body = { { "scorer", question.scorer },
                      { "per_s", question.perSecond },
                      { "instance", question.instance } };
  net::LinkCallOptions options;
  options.timeout = kAllocatorTimeout;
  const auto link = mNode.links().clientFor(member->link);
  const auto reply =
    co_await link->call(kPermitType, std::move(body), std::move(options));
  if (reply.error) {
    co_return std::nullopt;
  }
  const auto decision = decodeDecision(reply.body);
  if (!decision) {
    mNode.log().warning(
      "Malformed permit from {}: {}.", allocator, decision.error().text());
    co_return std::nullopt;
  }
  co_return decision.value();
}

net::Awaitable<void>
ScorerRates::answer(std::shared_ptr<net::LinkRequest> request)
{
  const auto question = decodeQuestion(request->body());
  if (!question) {
    request->reject(question.error().text());
    co_return;
  }
  const auto decision = decide(question.value());
  if (!decision) {
    request->reject("this process does not grant the scorer's permits");
    co_return;
  }
  request->reply({ { "granted", decision->isGranted },
                   { "wait_ms", decision->nextInteractive.count() } });
}

wire::Decoded<ScorerRates::Question>
ScorerRates::decodeQuestion(const wire::Json& json)
{
  return wire::decodeWith([&] {
    wire::ObjectReader reader(json);
    Question question{ reader.required<std::string>("scorer"),
                       reader.required<double>("per_s"),
                       reader.required<std::string>("instance") };
    if (!std::isfinite(question.perSecond) || question.perSecond < 0) {
      reader.fail("per_s", "must be 0 or more");
    }
    reader.rejectUnknownFields();
    return question;
  });
}

wire::Decoded<core::PermitDecision>
ScorerRates::decodeDecision(const wire::Json& json)
{
  return wire::decodeWith([&] {
    wire::ObjectReader reader(json);
    core::PermitDecision decision;
    decision.isGranted = reader.required<bool>("granted");
    decision.nextInteractive =
      Millis(reader.integer("wait_ms", 0, kMaxDelayMs));
    decision.nextBackground = decision.nextInteractive;
    reader.rejectUnknownFields();
    return decision;
  });
}

} // namespace lentilrack::entry
