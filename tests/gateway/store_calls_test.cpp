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

  void addMembers(int count)
  {
    mTable->put("op/config", R"({"version":3,"routes":[],"services":[]})");
    for (int i = 0; i < count; ++i) {
      addMember(fmt::format("instance-{}", i));
    }
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

  net::Awaitable<void> startAll()
  {
    for (const auto& member : mMembers) {
      start(*member);
    }
    co_await until([&] { return areComplete(); });
    // Long enough for the second reader to follow the first one.
    co_await net::sleepFor(Millis(1'000));
  }

  Member& leadingReader()
  {
    std::vector<core::ReplicationTree::Member> members;
    for (const auto& member : mMembers) {
      members.push_back({ member->node->context.settings.instance, "north" });
    }
    core::ReplicationTree tree("");
    tree.setMembers(members);
    const auto name = tree.level(0).front();
    return **std::ranges::find_if(mMembers, [&](const auto& member) {
      return member->node->context.settings.instance == name;
    });
  }

  static std::int64_t versionAt(const Member& member)
  {
    const auto& desired = member.node->context.desired;
    return desired ? desired->version() : 0;
  }

  net::Awaitable<void> untilVersionAtOthers(const Member& leading,
                                            std::int64_t version)
  {
    for (const auto& member : mMembers) {
      if (member.get() != &leading) {
        co_await until([&] { return versionAt(*member) == version; });
      }
    }
  }

  void resetCalls()
  {
    for (const auto& member : mMembers) {
      member->node->store.calls = {};
    }
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
// that starts, makes although another process can supply it. Before, twelve
// processes made calls at a price of 129 to start and of 51 in 4 s without
// changes.
TEST_F(StoreCallsTest, FleetStartsAndIdlesWithFewCalls)
{
  constexpr int kProcesses = 12;
  constexpr Millis kIdleTime{ 4'000 };
  addMembers(kProcesses);
  run([&]() -> net::Awaitable<void> {
    for (const auto& member : mMembers) {
      start(*member);
      co_await net::sleepFor(Millis(100));
    }
    co_await until([&] { return areComplete(); });
    co_await net::sleepFor(Millis(300));
    const auto started = totalCalls();
    print("start", started);
    EXPECT_LT(started.price(), 100);
    resetCalls();
    const auto begin = core::Clock::now();
    co_await net::sleepFor(kIdleTime);
    const auto idle = totalCalls();
    print("idle", idle);
    // One reader lists the servers every 350 ms and watches the operator keys
    // for 500 ms and the cluster keys for 2 s at a time.
    const auto seconds =
      std::chrono::duration<double>(core::Clock::now() - begin).count();
    const double ofOneReader = seconds * (1 / 0.35 + 1 / 0.5 + 1 / 2.0);
    EXPECT_LT(idle.lists + idle.watches, 1.7 * ofOneReader);
  });
}

// Guards against a fleet that waits for the reader that reads the store for the
// others when that reader is suspended: the reader that stands by must read the
// store itself.
TEST_F(StoreCallsTest, StandbyReaderTakesOverFromASilentReader)
{
  addMembers(6);
  run([&]() -> net::Awaitable<void> {
    co_await startAll();
    auto& leading = leadingReader();
    leading.isSilent = true;
    leading.node->store.isUnreachable = true;
    mTable->put("op/config", R"({"version":7,"routes":[],"services":[]})");
    co_await untilVersionAtOthers(leading, 7);
  });
}

// Guards against a fleet that follows a reader that the store turns away.
TEST_F(StoreCallsTest, StandbyReaderTakesOverFromAReaderCutFromTheStore)
{
  addMembers(6);
  run([&]() -> net::Awaitable<void> {
    co_await startAll();
    auto& leading = leadingReader();
    leading.node->store.isUnreachable = true;
    mTable->put("op/config", R"({"version":7,"routes":[],"services":[]})");
    co_await untilVersionAtOthers(leading, 7);
    // The reader that was cut off gets the change from another process.
    co_await until([&] { return versionAt(leading) == 7; });
  });
}

// Guards against a reader that stands by and serves its followers with mirrors
// that look current although the leading reader has lost the store.
TEST_F(StoreCallsTest, StandbyReaderDoesNotServeOldMirrors)
{
  addMembers(2);
  run([&]() -> net::Awaitable<void> {
    co_await startAll();
    for (const auto& member : mMembers) {
      member->node->store.isUnreachable = true;
    }
    for (const auto& member : mMembers) {
      int status = 200;
      while (status == 200) {
        net::HttpRequest request;
        request.target = "/peer/state?wait=0";
        const auto response =
          co_await member->node->replicator.serveFollower(std::move(request));
        status = response.status;
        co_await net::sleepFor(Millis(20));
      }
      EXPECT_EQ(status, 503);
    }
  });
}

} // namespace lentilrack::gateway
