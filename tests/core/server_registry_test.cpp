#include "core/server_registry.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

namespace {

const TimePoint kNow = TimePoint() + std::chrono::hours(1);

ServerEntry
entry(const std::string& id, std::int64_t startedAt = 1)
{
  ServerEntry server;
  server.id = id;
  server.service = "engine";
  server.endpoint = { "10.0.0.1", 8080 };
  server.failureDomain = "north";
  server.slots = 2;
  server.startedAt = startedAt;
  server.versions["m"] = 1;
  return server;
}

ServerRequirements
need(std::int64_t minVersion = 0)
{
  ServerRequirements result;
  result.service = "engine";
  result.model = minVersion > 0 ? "m" : "";
  result.minVersion = minVersion;
  return result;
}

} // namespace

// Guards against new work for a server that has announced that it is leaving.
TEST(ServerRegistryTest, DrainingServersGetNoWork)
{
  ServerRegistry registry;
  auto leaving = entry("a");
  leaving.draining = true;
  registry.apply({ leaving, entry("b") }, kNow);
  for (double draw = 0; draw < 1; draw += 0.1) {
    EXPECT_EQ(registry.choose(need(), kNow, draw)->entry.id, "b");
  }
  registry.markLeaving(entry("b"));
  EXPECT_EQ(registry.choose(need(), kNow, 0), nullptr);
}

// Guards against applying the request count, versions and order count of a
// server to the process that replaces it after a restart.
TEST(ServerRegistryTest, RestartDiscardsObservations)
{
  ServerRegistry registry;
  registry.apply({ entry("a", 1) }, kNow);
  registry.requestStarted(entry("a", 1));
  registry.recordVersion(entry("a", 1), "m", 7);
  registry.find("a", 1)->orderCount = 3;
  registry.apply({ entry("a", 2) }, kNow);
  const auto* server = registry.find("a", 2);
  ASSERT_NE(server, nullptr);
  EXPECT_EQ(server->running, 0);
  EXPECT_EQ(server->entry.versions.at("m"), 1);
  EXPECT_FALSE(server->orderCount);
  EXPECT_EQ(registry.find("a", 1), nullptr);
  // The end of a request that began before the restart does not change the new
  // process's count.
  registry.requestEnded(entry("a", 1));
  EXPECT_EQ(registry.find("a", 2)->running, 0);
}

// Guards against resetting a version that the server has reported because an
// outdated list is applied.
TEST(ServerRegistryTest, VersionsOnlyGrow)
{
  ServerRegistry registry;
  registry.apply({ entry("a") }, kNow);
  registry.recordVersion(entry("a"), "m", 2);
  registry.apply({ entry("a") }, kNow);
  EXPECT_NE(registry.choose(need(2), kNow, 0), nullptr);
  EXPECT_EQ(registry.choose(need(3), kNow, 0), nullptr);
}

// Guards against removing servers whose entries expired while the directory was
// unreachable, and against keeping servers that do not register again.
TEST(ServerRegistryTest, EntriesMayBeMissingForAMomentAfterAnOutage)
{
  ServerRegistry registry;
  registry.apply({ entry("a") }, kNow);
  registry.recordDirectoryFailure(kNow + Millis(100));
  registry.apply({}, kNow + Millis(200));
  EXPECT_NE(registry.choose(need(), kNow, 0), nullptr);
  registry.apply({},
                 kNow + Millis(200) + ServerRegistry::kDirectoryRecoveryGrace);
  EXPECT_EQ(registry.choose(need(), kNow, 0), nullptr);
}

// Guards against using a server that is missing from the list for longer than
// the grace period, when no further list arrives.
TEST(ServerRegistryTest, GraceEndsWithoutAnotherList)
{
  ServerRegistry registry;
  registry.apply({ entry("a") }, kNow);
  registry.recordDirectoryFailure(kNow);
  registry.apply({}, kNow + Millis(100));
  const auto end = kNow + Millis(100) + ServerRegistry::kDirectoryRecoveryGrace;
  EXPECT_NE(registry.choose(need(), end - Millis(1), 0), nullptr);
  EXPECT_EQ(registry.choose(need(), end, 0), nullptr);
}

// Guards against keeping a server that is missing from the list although the
// directory did not fail before.
TEST(ServerRegistryTest, MissingEntryIsRemovedWhenTheDirectoryWorks)
{
  ServerRegistry registry;
  registry.apply({ entry("a") }, kNow);
  registry.apply({}, kNow + Millis(500));
  EXPECT_TRUE(registry.empty());
}

// Guards against slow servers that get as many requests as the others.
TEST(ServerRegistryTest, SlowServersGetASmallerShare)
{
  ServerRegistry registry;
  registry.apply({ entry("slow"), entry("x"), entry("y") }, kNow);
  registry.succeeded(entry("slow"), 100);
  registry.succeeded(entry("x"), 20);
  registry.succeeded(entry("y"), 20);
  for (int i = 0; i < 4; ++i) {
    const auto* server = registry.choose(need(), kNow, 0);
    EXPECT_NE(server->entry.id, "slow");
    registry.requestStarted(server->entry);
  }
}

// Guards against sending work to a failing server while others answer, and
// against a service that stops because all its servers have failed once.
TEST(ServerRegistryTest, FailingServersAreAvoidedUnlessThereIsNoOther)
{
  ServerRegistry registry;
  registry.apply({ entry("a"), entry("b") }, kNow);
  registry.failed(entry("a"), kNow);
  EXPECT_EQ(registry.choose(need(), kNow, 0)->entry.id, "b");
  registry.failed(entry("b"), kNow);
  EXPECT_NE(registry.choose(need(), kNow, 0), nullptr);
}

// Guards against processing the prompt that the items of a group share on
// several servers while the first one has free slots.
TEST(ServerRegistryTest, GroupStaysOnItsServerWhileThereAreFreeSlots)
{
  ServerRegistry registry;
  registry.apply({ entry("a"), entry("b") }, kNow);
  auto wanted = need(1);
  wanted.freeSlotOnly = true;
  wanted.preferredServer = "b";
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(registry.choose(wanted, kNow, 0)->entry.id, "b");
    registry.requestStarted(entry("b"));
  }
  EXPECT_EQ(registry.choose(wanted, kNow, 0)->entry.id, "a");
}

// Guards against work for servers that limit their load while others have free
// slots, and against idle limited servers while all others are full.
TEST(ServerRegistryTest, RateLimitedServersAreUsedOnlyWhenOthersAreFull)
{
  ServerRegistry registry;
  registry.apply({ entry("a"), entry("b") }, kNow);
  registry.recordStatedRate("a", 1, 5.0, kNow);
  for (int i = 0; i < entry("b").slots; ++i) {
    auto* chosen = registry.choose(need(), kNow, 0);
    EXPECT_EQ(chosen->entry.id, "b");
    registry.requestStarted(chosen->entry);
  }
  EXPECT_EQ(registry.choose(need(), kNow, 0)->entry.id, "a");
  // The answer to the question for a permit is pending.
  EXPECT_EQ(registry.choose(need(), kNow, 0)->entry.id, "b");
}

// Guards against a prompt cache that draws all items of a group to a server
// which limits its load.
TEST(ServerRegistryTest, PreferredServerIsLeftWhenItStatesARate)
{
  ServerRegistry registry;
  registry.apply({ entry("a"), entry("b") }, kNow);
  registry.recordStatedRate("a", 1, 5.0, kNow);
  auto requirements = need();
  requirements.preferredServer = "a";
  EXPECT_EQ(registry.choose(requirements, kNow, 0)->entry.id, "b");
}

// Guards against a server that gets no work for good: only a response shows
// that its limit has ended.
TEST(ServerRegistryTest, RateLimitedServerIsTriedAgainAfterAWhile)
{
  ServerRegistry registry;
  registry.apply({ entry("a"), entry("b") }, kNow);
  registry.recordStatedRate("a", 1, 5.0, kNow);
  registry.requestStarted(entry("b"));
  const auto later = kNow + std::chrono::seconds(10);
  EXPECT_EQ(registry.choose(need(), later, 0)->entry.id, "a");
}

// Guards against moves and hedges that use the permits of requests which have
// no server yet.
TEST(ServerRegistryTest, ExcludedRateLimitedServersAreNotChosen)
{
  ServerRegistry registry;
  registry.apply({ entry("a") }, kNow);
  registry.recordStatedRate("a", 1, 5.0, kNow);
  auto requirements = need();
  requirements.excludesRateLimited = true;
  EXPECT_EQ(registry.choose(requirements, kNow, 0), nullptr);
}

// Guards against a late response of a server that brings back a limit which has
// ended since.
TEST(ServerRegistryTest, OlderResponseDoesNotChangeTheStatedRate)
{
  ServerRegistry registry;
  registry.apply({ entry("a") }, kNow);
  EXPECT_TRUE(registry.recordStatedRate("a", 1, 5.0, kNow));
  EXPECT_TRUE(
    registry.recordStatedRate("a", 1, std::nullopt, kNow + Millis(20)));
  EXPECT_FALSE(registry.recordStatedRate("a", 1, 5.0, kNow + Millis(10)));
  EXPECT_FALSE(registry.find("a", 1)->statedRate.has_value());
}

namespace {

/// Registers a server per id, each with an address of its own, and an idle
/// connection to the server "b".
void
addServers(ServerRegistry& registry, const std::vector<std::string>& ids)
{
  std::vector<ServerEntry> entries;
  for (const auto& id : ids) {
    entries.push_back(entry(id));
    entries.back().endpoint.address = id;
    entries.back().slots = 6;
  }
  registry.apply(std::move(entries), kNow);
  registry.setIdleConnectionTest(
    [](const Endpoint& endpoint) { return endpoint.address == "b"; });
}

} // namespace

// Guards against a new connection to a server although an equally good one has
// an idle connection.
TEST(ServerRegistryTest, ServerWithAnIdleConnectionIsPreferred)
{
  ServerRegistry registry;
  addServers(registry, { "a", "b", "c" });
  for (double draw = 0; draw < 1; draw += 0.1) {
    EXPECT_EQ(registry.choose(need(), kNow, draw)->entry.id, "b");
  }
  auto unrepeatable = need();
  unrepeatable.needsNewConnection = true;
  EXPECT_EQ(registry.choose(unrepeatable, kNow, 0)->entry.id, "a");
  EXPECT_EQ(registry.choose(unrepeatable, kNow, 0.9)->entry.id, "c");
}

// Guards against saving connections at the expense of load, of failing servers
// or of traffic between failure domains.
TEST(ServerRegistryTest, IdleConnectionDoesNotOutweighLoadHealthOrDomain)
{
  ServerRegistry registry;
  addServers(registry, { "a", "b" });
  registry.requestStarted(entry("b"));
  EXPECT_EQ(registry.choose(need(), kNow, 0.9)->entry.id, "a");
  registry.requestEnded(entry("b"));
  EXPECT_EQ(registry.choose(need(), kNow, 0)->entry.id, "b");
  registry.refused(entry("b"), kNow);
  EXPECT_EQ(registry.choose(need(), kNow, 0.9)->entry.id, "a");
  auto remote = entry("b", 2);
  remote.endpoint.address = "b";
  remote.failureDomain = "south";
  registry.apply({ entry("a"), remote }, kNow);
  auto inDomain = need();
  inDomain.preferredDomain = "north";
  EXPECT_EQ(registry.choose(inDomain, kNow, 0.9)->entry.id, "a");
}

} // namespace lentilrack::core
