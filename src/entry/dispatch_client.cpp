#include "entry/dispatch_client.h"

#include "net/error.h"

#include <pcg_random.hpp>

#include <algorithm>
#include <functional>
#include <random>

namespace lentilrack::entry {

namespace {

/// Age at which the copy of the live dispatchers is renewed; far below the
/// 500 ms between heartbeats.
constexpr core::Millis kCopyLife{ 20 };
/// How much longer than the deadline an entry waits for a dispatcher's verdict.
constexpr core::Millis kVerdictGrace{ 1000 };

core::Outcome
failure(core::Verdict verdict, std::string reason)
{
  core::Outcome outcome;
  outcome.verdict = verdict;
  outcome.reason = std::move(reason);
  return outcome;
}

wire::DispatchReply
answerOf(const net::LinkReply& reply)
{
  using core::Verdict;
  const auto failed = [](Verdict verdict, std::string reason) {
    return wire::DispatchReply{ failure(verdict, std::move(reason)),
                                std::nullopt };
  };
  if (!reply.sent) {
    const bool isLate = reply.error == net::NetError::NotStarted;
    return failed(Verdict::NotRun,
                  isLate ? "deadline" : "dispatcher_unreachable");
  }
  if (reply.error == net::NetError::TimedOut) {
    return failed(Verdict::Unknown, "timeout");
  }
  if (reply.error) {
    return failed(Verdict::Unknown, "dispatcher_lost");
  }
  auto answer = wire::decode<wire::DispatchReply>(reply.body);
  return answer ? std::move(answer).value()
                : failed(Verdict::Unknown, "bad_answer");
}

} // namespace

struct DispatchClient::InFlight
{
  /// Copy of the live dispatchers. Copying hundreds of members for each request
  /// would cost more than the choice itself.
  std::vector<core::Member> live;
  std::optional<core::TimePoint> copied;
  core::DispatcherLoads loads;
  pcg64 engine{ pcg_extras::seed_seq_from<std::random_device>{} };
  core::RandomBelow random = [this](std::uint64_t bound) {
    return engine(bound);
  };
};

DispatchClient::DispatchClient(node::Node& node,
                               core::DispatcherChooser chooser)
  : mNode(node)
  , mChooser(std::move(chooser))
  , mInFlight(std::make_shared<InFlight>())
{
}

const std::vector<core::Member>&
DispatchClient::liveDispatchers()
{
  const auto now = core::Clock::now();
  if (!mInFlight->copied || now - *mInFlight->copied >= kCopyLife) {
    mInFlight->live = mNode.members().liveMembers(core::MemberRole::Dispatch);
    mInFlight->copied = now;
  }
  return mInFlight->live;
}

const core::Member*
DispatchClient::chooseFor(const DispatchCall& call)
{
  std::vector<const core::Member*> members;
  for (const auto& member : liveDispatchers()) {
    const auto load = member.load.find(call.work.target);
    const bool isAllowed =
      call.allowed.empty() ||
      std::ranges::find(call.allowed, member.id) != call.allowed.end();
    if (isAllowed && load != member.load.end() && load->second.servers > 0) {
      members.push_back(&member);
    }
  }
  const auto prefer = [&](auto&& isWanted) {
    if (std::ranges::any_of(members, isWanted)) {
      std::erase_if(members, std::not_fn(isWanted));
    }
  };
  prefer([&](const core::Member* member) {
    return !call.avoid.contains(member->id.name);
  });
  prefer([](const core::Member* member) {
    return member->state == core::MemberState::Alive;
  });
  if (members.empty()) {
    return nullptr;
  }
  std::vector<core::DispatcherCandidate> candidates;
  candidates.reserve(members.size());
  for (const auto* member : members) {
    candidates.push_back(mInFlight->loads.candidate(*member, call.work.target));
  }
  const auto index = mChooser(candidates, call.work.prefix, mInFlight->random);
  return members[index];
}

net::Awaitable<DispatchResult>
DispatchClient::run(DispatchCall call)
{
  DispatchResult result;
  const auto* chosen = chooseFor(call);
  if (chosen == nullptr) {
    result.outcome = failure(core::Verdict::NotRun, "no_dispatcher");
    co_return result;
  }
  result.dispatcher = chosen->id;
  if (call.onChosen) {
    call.onChosen(chosen->id);
  }
  const auto inFlight = mInFlight;
  const auto own = inFlight->loads.started(
    *chosen,
    static_cast<double>(std::max<std::int64_t>(call.work.maxTokens, 1)));
  const auto target = call.work.target;
  const auto end = core::Clock::now() + call.remaining;
  wire::DispatchRequest request{
    call.attempt, chosen->id, std::move(call.work), call.remaining
  };
  net::LinkCallOptions options;
  options.timeout = call.remaining + kVerdictGrace;
  options.cancel = call.cancel;
  options.onEvent = [onChunk = call.onChunk](const wire::Json& event) {
    auto chunk = wire::decode<core::Chunk>(event);
    if (chunk && onChunk) {
      onChunk(std::move(chunk).value());
    }
  };
  // The process may have been paused, or connecting may have taken long.
  options.beforeSend = [end, cancel = call.cancel](wire::Json& body) {
    const auto left =
      std::chrono::duration_cast<core::Millis>(end - core::Clock::now());
    body["remaining_ms"] = left.count();
    return left > core::Millis(0) && !(cancel && cancel->cancelled());
  };
  const auto link = mNode.links().to(chosen->link);
  auto body = wire::encode(request);
  const auto reply = co_await link->call(
    wire::DispatchRequest::kType, std::move(body), std::move(options));
  inFlight->loads.finished(own);
  result.sent = reply.sent;
  const auto answer = answerOf(reply);
  if (answer.load) {
    inFlight->loads.recordAnsweredLoad(
      *result.dispatcher, target, *answer.load);
  }
  result.outcome = answer.outcome;
  co_return result;
}

net::Awaitable<std::optional<wire::BarReply>>
DispatchClient::bar(core::ProcessId dispatcher,
                    std::string request,
                    core::Millis timeout)
{
  const auto* member = mNode.members().find(dispatcher);
  if (member == nullptr) {
    co_return std::nullopt;
  }
  const wire::BarRequest message{ std::move(request), std::move(dispatcher) };
  net::LinkCallOptions options;
  options.timeout = timeout;
  const auto link = mNode.links().to(member->link);
  auto body = wire::encode(message);
  const auto reply = co_await link->call(
    wire::BarRequest::kType, std::move(body), std::move(options));
  if (reply.error) {
    co_return std::nullopt;
  }
  auto decoded = wire::decode<wire::BarReply>(reply.body);
  co_return decoded ? std::optional(std::move(decoded).value()) : std::nullopt;
}

} // namespace lentilrack::entry
