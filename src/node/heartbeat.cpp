#include "node/heartbeat.h"

#include "wire/messages.h"

#include <algorithm>
#include <random>

namespace lentilrack::node {

using core::Member;
using core::MemberState;
using net::Awaitable;

namespace {

constexpr core::Millis kPingTimeout{ 800 };
constexpr core::Millis kIndirectTimeout{ 1200 };
constexpr std::size_t kHelpers = 2;
/// Members told at once of a change.
constexpr std::size_t kSpread = 4;
/// Entries watch the load of up to this many dispatchers.
constexpr std::size_t kWatchedDispatchers = 8;
constexpr std::size_t kUpdates = 8;

} // namespace

Heartbeat::Heartbeat(net::asio::io_context& io,
                     core::Membership& members,
                     net::LinkPool& links,
                     net::Logger log,
                     Hooks hooks)
  : mIo(io)
  , mMembers(members)
  , mLinks(links)
  , mLog(std::move(log))
  , mHooks(std::move(hooks))
  , mRandom(pcg_extras::seed_seq_from<std::random_device>())
{
}

void
Heartbeat::addHandlers(net::LinkServer& server)
{
  server.registerHandler(wire::Ping::kType,
                         [this](std::shared_ptr<net::LinkRequest> request) {
                           return answerPing(std::move(request));
                         });
  server.registerHandler(wire::PingRequest::kType,
                         [this](std::shared_ptr<net::LinkRequest> request) {
                           return answerPingRequest(std::move(request));
                         });
}

Awaitable<void>
Heartbeat::run()
{
  for (;;) {
    const auto pace = core::heartbeatSchedule(mMembers.others().size());
    round(pace);
    co_await net::sleepFor(pace.interval);
    mMembers.expireStates(core::Clock::now());
  }
}

void
Heartbeat::round(const core::HeartbeatSchedule& pace)
{
  for (const auto& member : targets(pace)) {
    net::spawn(mIo, probe(member));
  }
}

std::vector<Member>
Heartbeat::targets(const core::HeartbeatSchedule& pace)
{
  std::vector<Member> chosen;
  const auto choose = [&](const Member& member) {
    const bool isKnown = std::ranges::any_of(
      chosen, [&](const Member& m) { return m.id.name == member.id.name; });
    if (!isKnown && member.id.name != mMembers.self().id.name) {
      chosen.push_back(member);
    }
  };
  const bool isWatchRound = ++mRounds % pace.watchRoundInterval == 0;
  if (isWatchRound && mMembers.self().role == core::MemberRole::Entry) {
    auto dispatchers = mMembers.liveMembers(core::MemberRole::Dispatch);
    if (dispatchers.size() > kWatchedDispatchers) {
      std::ranges::shuffle(dispatchers, mRandom);
      dispatchers.resize(kWatchedDispatchers);
    }
    std::ranges::for_each(dispatchers, choose);
  }
  for (std::size_t i = 0; i < pace.probesPerRound; ++i) {
    if (mPass.empty()) {
      for (const auto& member : mMembers.others()) {
        mPass.push_back(member.id.name);
      }
      std::ranges::shuffle(mPass, mRandom);
    }
    if (mPass.empty()) {
      break;
    }
    if (const auto* member = mMembers.find(mPass.back())) {
      choose(*member);
    }
    mPass.pop_back();
  }
  return chosen;
}

wire::Json
Heartbeat::ownPing()
{
  auto& self = mMembers.self();
  mHooks.refreshSelf(self);
  ++self.reportNumber;
  return wire::encode(wire::Ping{ self, mMembers.takeUpdates(kUpdates) });
}

void
Heartbeat::takePing(const wire::Json& json)
{
  const auto ping = wire::decode<wire::Ping>(json);
  if (!ping) {
    mLog.warning("Malformed heartbeat: {}.", ping.error().text());
    return;
  }
  const auto now = core::Clock::now();
  const auto& sender = ping.value().sender;
  mMembers.applyHeartbeat(sender, now);
  for (const auto& member : ping.value().updates) {
    mMembers.applyReport(member, now);
  }
  mHooks.memberHeard(sender);
}

Awaitable<void>
Heartbeat::answerPing(std::shared_ptr<net::LinkRequest> request)
{
  takePing(request->body());
  request->reply(ownPing());
  co_return;
}

Awaitable<void>
Heartbeat::answerPingRequest(std::shared_ptr<net::LinkRequest> request)
{
  const auto decoded = wire::decode<wire::PingRequest>(request->body());
  if (!decoded) {
    request->reject(decoded.error().text());
    co_return;
  }
  const bool isAlive = co_await pingAddress(decoded.value().target);
  request->reply(isAlive);
}

Awaitable<bool>
Heartbeat::pingAddress(core::Endpoint endpoint)
{
  const auto link = mLinks.clientFor(endpoint);
  net::LinkCallOptions options;
  options.timeout = kPingTimeout;
  const auto reply =
    co_await link->call(wire::Ping::kType, ownPing(), std::move(options));
  if (!reply.error) {
    takePing(reply.body);
  }
  co_return !reply.error;
}

Awaitable<void>
Heartbeat::probe(Member member)
{
  const bool isReached = co_await pingAddress(member.link);
  if (isReached) {
    const auto* known = mMembers.find(member.id.name);
    const bool isReplaced = known != nullptr && known->link != member.link;
    if (isReplaced) {
      mLinks.removeClient(member.link);
    }
    co_return;
  }
  if (member.state == MemberState::Dead) {
    mLinks.removeClient(member.link);
    co_return;
  }
  auto helpers = mMembers.others();
  std::erase_if(helpers, [&](const Member& helper) {
    return helper.state != MemberState::Alive ||
           helper.id.name == member.id.name;
  });
  std::ranges::shuffle(helpers, mRandom);
  helpers.resize(std::min(helpers.size(), kHelpers));
  for (const auto& helper : helpers) {
    const bool isAlive = co_await probeThrough(helper, member.link);
    if (isAlive) {
      co_return;
    }
  }
  const auto* known = mMembers.find(member.id);
  if (known != nullptr && known->reportNumber <= member.reportNumber) {
    mMembers.recordFailedProbe(member.id.name, core::Clock::now());
  }
}

Awaitable<bool>
Heartbeat::probeThrough(Member helper, core::Endpoint target)
{
  const auto link = mLinks.clientFor(helper.link);
  net::LinkCallOptions options;
  options.timeout = kIndirectTimeout;
  auto body = wire::encode(wire::PingRequest{ target });
  const auto reply = co_await link->call(
    wire::PingRequest::kType, std::move(body), std::move(options));
  co_return !reply.error && reply.body == true;
}

void
Heartbeat::pingRandomMembers()
{
  auto others = mMembers.others();
  std::erase_if(others, [](const Member& member) {
    return member.state == MemberState::Dead;
  });
  std::ranges::shuffle(others, mRandom);
  others.resize(std::min(others.size(), kSpread));
  for (const auto& member : others) {
    net::spawn(mIo, probe(member));
  }
}

Awaitable<void>
Heartbeat::pingAll()
{
  for (const auto& member : mMembers.others()) {
    if (member.state != MemberState::Dead) {
      net::spawn(mIo, probe(member));
    }
  }
  co_await net::sleepFor(kPingTimeout);
}

} // namespace lentilrack::node
