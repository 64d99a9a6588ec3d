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
/// Number of members that are asked to ping a member that does not reply.
constexpr std::size_t kIndirectProbes = 2;
/// Number of members that are pinged immediately after a change.
constexpr std::size_t kImmediatePings = 4;
/// Maximum number of dispatchers that an entry pings in one round to learn
/// their load.
constexpr std::size_t kWatchedDispatchers = 8;
constexpr std::size_t kMaxUpdates = 8;

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
                           return handlePing(std::move(request));
                         });
  server.registerHandler(wire::PingRequest::kType,
                         [this](std::shared_ptr<net::LinkRequest> request) {
                           return handlePingRequest(std::move(request));
                         });
}

Awaitable<void>
Heartbeat::run()
{
  for (;;) {
    const auto schedule = core::heartbeatSchedule(mMembers.others().size());
    runRound(schedule);
    co_await net::sleepFor(schedule.interval);
    mMembers.expireStates(core::Clock::now());
  }
}

void
Heartbeat::runRound(const core::HeartbeatSchedule& schedule)
{
  for (const auto& member : chooseTargets(schedule)) {
    net::spawn(mIo, probe(member));
  }
}

std::vector<Member>
Heartbeat::chooseTargets(const core::HeartbeatSchedule& schedule)
{
  std::vector<Member> chosen;
  const auto choose = [&](const Member& member) {
    const bool isKnown = std::ranges::any_of(
      chosen, [&](const Member& m) { return m.id.name == member.id.name; });
    if (!isKnown && member.id.name != mMembers.self().id.name) {
      chosen.push_back(member);
    }
  };
  const bool isWatchRound = ++mRounds % schedule.watchRoundInterval == 0;
  if (isWatchRound && mMembers.self().role == core::MemberRole::Entry) {
    auto dispatchers = mMembers.liveMembers(core::MemberRole::Dispatch);
    if (dispatchers.size() > kWatchedDispatchers) {
      std::ranges::shuffle(dispatchers, mRandom);
      dispatchers.resize(kWatchedDispatchers);
    }
    std::ranges::for_each(dispatchers, choose);
  }
  for (std::size_t i = 0; i < schedule.probesPerRound; ++i) {
    if (mProbeQueue.empty()) {
      for (const auto& member : mMembers.others()) {
        mProbeQueue.push_back(member.id.name);
      }
      std::ranges::shuffle(mProbeQueue, mRandom);
    }
    if (mProbeQueue.empty()) {
      break;
    }
    if (const auto* member = mMembers.find(mProbeQueue.back())) {
      choose(*member);
    }
    mProbeQueue.pop_back();
  }
  return chosen;
}

wire::Json
Heartbeat::makePing()
{
  auto& self = mMembers.self();
  mHooks.refreshSelf(self);
  ++self.reportNumber;
  return wire::encode(wire::Ping{ self, mMembers.takeUpdates(kMaxUpdates) });
}

void
Heartbeat::applyPing(const wire::Json& json)
{
  const auto ping = wire::decode<wire::Ping>(json);
  if (!ping) {
    mLog.warning("Received a malformed heartbeat: {}.", ping.error().text());
    return;
  }
  const auto now = core::Clock::now();
  const auto& sender = ping.value().sender;
  mMembers.applyHeartbeat(sender, now);
  for (const auto& member : ping.value().updates) {
    mMembers.applyReport(member, now);
  }
  mHooks.onMemberHeard(sender);
}

Awaitable<void>
Heartbeat::handlePing(std::shared_ptr<net::LinkRequest> request)
{
  applyPing(request->body());
  request->reply(makePing());
  co_return;
}

Awaitable<void>
Heartbeat::handlePingRequest(std::shared_ptr<net::LinkRequest> request)
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
    co_await link->call(wire::Ping::kType, makePing(), std::move(options));
  if (!reply.error) {
    applyPing(reply.body);
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
  helpers.resize(std::min(helpers.size(), kIndirectProbes));
  for (const auto& helper : helpers) {
    const bool isAlive = co_await probeVia(helper, member.link);
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
Heartbeat::probeVia(Member helper, core::Endpoint target)
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
  others.resize(std::min(others.size(), kImmediatePings));
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
