#include "gateway_fixture.h"
#include "net/http_server.h"

#include <fmt/format.h>

#include <algorithm>

namespace lentilrack::gateway {

namespace {

using core::Millis;

/// Some processes that replicate the store and register themselves, each with
/// an address at which the others reach it.
class StoreCallsTest : public GatewayTest
{
protected:
  struct Member
  {
    std::unique_ptr<TestNode> node;
    std::unique_ptr<net::HttpServer> server;
    /// Whether the process does not respond to others any more.
    bool isSilent = false;
  };

  Member& addMember(const std::string& name)
  {
    auto& member = *mMembers.emplace_back(std::make_unique<Member>());
    member.node = makeNode(name);
    auto handler =
      [&member](net::HttpExchange& exchange) -> net::Awaitable<void> {
      while (member.isSilent) {
        co_await net::sleepFor(Millis(20));
      }
      auto response =
        co_await member.node->replicator.serveFollower(exchange.request());
      co_await exchange.respond(std::move(response));
    };
    member.server =
      std::make_unique<net::HttpServer>(mIo, net::HttpLimits(), handler);
    auto& settings = member.node->context.settings;
    settings.peerAddress = member.server->listen({ "127.0.0.1", 0 }).value();
    settings.seeds = mSeeds;
    return member;
  }

  static void start(Member& member)
  {
    member.node->replicator.start();
    member.node->cluster.start();
  }

  bool isComplete(const Member& member) const
  {
    const auto& mirrors = member.node->context.mirrors;
    return mirrors.operatorKeys.isComplete() && mirrors.servers.isComplete() &&
           mirrors.cluster.isComplete() &&
           member.node->cluster.isRegistered() &&
           member.node->cluster.peers().size() == mMembers.size();
  }

  bool areComplete() const
  {
    return std::ranges::all_of(
      mMembers, [this](const auto& member) { return isComplete(*member); });
  }

  FakeStoreCalls totalCalls() const
  {
    FakeStoreCalls total;
    for (const auto& member : mMembers) {
      const auto& calls = member->node->store.calls;
      total.reads += calls.reads;
      total.lists += calls.lists;
      total.watches += calls.watches;
      total.commits += calls.commits;
      total.grants += calls.grants;
      total.renewals += calls.renewals;
    }
    return total;
  }

  static void print(const char* phase, const FakeStoreCalls& calls)
  {
    fmt::print("{}: reads {} lists {} watches {} commits {} grants {} renewals "
               "{} price {:.1f}\n",
               phase,
               calls.reads,
               calls.lists,
               calls.watches,
               calls.commits,
               calls.grants,
               calls.renewals,
               calls.price());
  }

  std::vector<std::unique_ptr<Member>> mMembers;
  std::vector<core::Endpoint> mSeeds;
};

} // namespace

// Guards against calls to the store that each further reader, or each process
// that starts, makes although another process can supply it.
TEST_F(StoreCallsTest, FleetStartsAndIdlesWithFewCalls)
{
  constexpr int kProcesses = 12;
  mTable->put("op/config", R"({"version":3,"routes":[],"services":[]})");
  for (int i = 0; i < kProcesses; ++i) {
    addMember(fmt::format("instance-{}", i));
  }
  run([&]() -> net::Awaitable<void> {
    for (const auto& member : mMembers) {
      start(*member);
      co_await net::sleepFor(Millis(100));
    }
    co_await until([&] { return areComplete(); });
    co_await net::sleepFor(Millis(300));
    const auto started = totalCalls();
    print("start", started);
    for (const auto& member : mMembers) {
      member->node->store.calls = {};
    }
    co_await net::sleepFor(Millis(4'000));
    const auto idle = totalCalls();
    print("idle 4 s", idle);
  });
}

} // namespace lentilrack::gateway
