#include "entry/dispatch_client.h"

#include "net/error.h"

#include <pcg_random.hpp>

#include <algorithm>
#include <functional>
#include <random>

namespace lentilrack::entry {

namespace {

/// Maximum age of the cached list of live dispatchers. Heartbeats update the
/// members only every 500 ms, so a list that is 20 ms old is hardly out of
/// date.
constexpr core::Millis kMemberCacheLifetime{ 20 };
/// How long an entry process still waits for a dispatcher's reply after the
/// deadline of the work.
constexpr core::Millis kReplyGrace{ 1000 };

core::Outcome
makeOutcome(core::Verdict verdict, std::string reason)
{
  core::Outcome outcome;
  outcome.verdict = verdict;
  outcome.reason = std::move(reason);
  return outcome;
}

wire::DispatchReply
toDispatchReply(const net::LinkReply& reply)
{
  using core::Verdict;
  const auto failedReply = [](Verdict verdict, std::string reason) {
    return wire::DispatchReply{ makeOutcome(verdict, std::move(reason)),
                                std::nullopt };
  };
  if (!reply.sent) {
    const bool isDeadlineOver = reply.error == net::NetError::NotStarted;
    return failedReply(Verdict::NotRun,
                       isDeadlineOver ? "deadline" : "dispatcher_unreachable");
  }
  if (reply.error == net::NetError::TimedOut) {
    return failedReply(Verdict::Unknown, "timeout");
  }
  if (reply.error) {
    return failedReply(Verdict::Unknown, "dispatcher_lost");
  }
  auto answer = wire::decode<wire::DispatchReply>(reply.body);
  return answer ? std::move(answer).value()
                : failedReply(Verdict::Unknown, "bad_answer");
}

} // namespace

struct DispatchClient::State
{
  /// The live dispatchers at `copiedAt`. Cached, because copying hundreds of
  /// members for each request would take longer than choosing a dispatcher.
  std::vector<core::Member> liveDispatcherCopy;
  std::optional<core::TimePoint> copiedAt;
  core::DispatcherLoads loads;
  pcg64 randomEngine{ pcg_extras::seed_seq_from<std::random_device>{} };
  core::RandomBelow random = [this](std::uint64_t bound) {
    return randomEngine(bound);
  };
};

DispatchClient::DispatchClient(node::Node& node,
                               core::DispatcherChooser chooser)
  : mNode(node)
  , mChooser(std::move(chooser))
  , mState(std::make_shared<State>())
{
}

const std::vector<core::Member>&
DispatchClient::liveDispatchers()
{
  const auto now = core::Clock::now();
  if (!mState->copiedAt || now - *mState->copiedAt >= kMemberCacheLifetime) {
    mState->liveDispatcherCopy =
      mNode.members().liveMembers(core::MemberRole::Dispatch);
    mState->copiedAt = now;
  }
  return mState->liveDispatcherCopy;
}

const core::Member*
DispatchClient::selectDispatcher(const DispatchCall& call)
{
  std::vector<const core::Member*> members;
  for (const auto& member : liveDispatchers()) {
    const auto load = member.load.find(call.work.target);
    const bool isAllowed =
      call.allowedDispatchers.empty() ||
      std::ranges::find(call.allowedDispatchers, member.id) !=
        call.allowedDispatchers.end();
    if (isAllowed && load != member.load.end() && load->second.servers > 0) {
      members.push_back(&member);
    }
  }
  const auto keepIfAnyMatches = [&](auto&& isPreferred) {
    if (std::ranges::any_of(members, isPreferred)) {
      std::erase_if(members, std::not_fn(isPreferred));
    }
  };
  keepIfAnyMatches([&](const core::Member* member) {
    return !call.avoidedDispatchers.contains(member->id.name);
  });
  keepIfAnyMatches([](const core::Member* member) {
    return member->state == core::MemberState::Alive;
  });
  if (members.empty()) {
    return nullptr;
  }
  std::vector<core::DispatcherCandidate> candidates;
  candidates.reserve(members.size());
  for (const auto* member : members) {
    candidates.push_back(mState->loads.candidate(*member, call.work.target));
  }
  const auto index = mChooser(candidates, call.work.prefix, mState->random);
  return members[index];
}

net::Awaitable<DispatchResult>
DispatchClient::run(DispatchCall call)
{
  DispatchResult result;
  const auto* chosen = selectDispatcher(call);
  if (chosen == nullptr) {
    result.outcome = makeOutcome(core::Verdict::NotRun, "no_dispatcher");
    co_return result;
  }
  result.dispatcher = chosen->id;
  if (call.onChosen) {
    call.onChosen(chosen->id);
  }
  const auto shared = mState;
  const auto loadEntry = shared->loads.started(
    *chosen,
    static_cast<double>(std::max<std::int64_t>(call.work.maxTokens, 1)));
  const auto target = call.work.target;
  const auto end = core::Clock::now() + call.remaining;
  wire::DispatchRequest request{
    call.attempt, chosen->id, std::move(call.work), call.remaining
  };
  net::LinkCallOptions options;
  options.timeout = call.remaining + kReplyGrace;
  options.cancel = call.cancel;
  options.onEvent = [onChunk = call.onChunk](const wire::Json& event) {
    auto chunk = wire::decode<core::Chunk>(event);
    if (chunk && onChunk) {
      onChunk(std::move(chunk).value());
    }
  };
  // The remaining time is computed right before sending, because the process
  // may have been paused or the connection may have been slow to open.
  options.beforeSend = [end, cancel = call.cancel](wire::Json& body) {
    const auto timeLeft =
      std::chrono::duration_cast<core::Millis>(end - core::Clock::now());
    body["remaining_ms"] = timeLeft.count();
    return timeLeft > core::Millis(0) &&
           !(cancel && cancel->isCancelRequested());
  };
  const auto link = mNode.links().clientFor(chosen->link);
  auto body = wire::encode(request);
  const auto reply = co_await link->call(
    wire::DispatchRequest::kType, std::move(body), std::move(options));
  shared->loads.finished(loadEntry);
  result.sent = reply.sent;
  const auto answer = toDispatchReply(reply);
  if (answer.load) {
    shared->loads.recordAnsweredLoad(*result.dispatcher, target, *answer.load);
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
  const auto link = mNode.links().clientFor(member->link);
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
