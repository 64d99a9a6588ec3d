#include "core/server_choice.h"

#include <gtest/gtest.h>

#include <map>

namespace lentilrack::core {

namespace {

const TimePoint kStart{ Millis(1'000'000) };

class ChoiceTest : public ::testing::Test
{
protected:
  void add(int count)
  {
    std::vector<BackendServer> list;
    for (int i = 0; i < count; ++i) {
      BackendServer server;
      server.id = name(i);
      server.models = { "m" };
      server.slots = 8;
      list.push_back(server);
    }
    mServers.update(
      list, [](const auto&) { return true; }, kStart);
    mServers.advance(mNow);
  }

  static std::string name(int i) { return "s" + std::to_string(i); }

  ServerView view() const
  {
    return { mServers,
             mHealth,
             mPrefixes,
             [](std::int64_t slots) { return slots * 3 / 4; },
             mNow };
  }

  static ChoiceRequest request(double tokens = 100)
  {
    ChoiceRequest result;
    result.target = "m";
    result.tokens = tokens;
    result.promptChars = 10'000;
    return result;
  }

  std::string choose(const ChoiceRequest& choiceRequest)
  {
    const auto index = chooseBestServer(choiceRequest, view(), mRandom);
    return index ? mServers.at(*index).server.id : "";
  }

  ServerReport reportOf(std::int64_t running, Millis age) const
  {
    ServerReport report;
    report.running = running;
    report.models = { { "m", 1 } };
    report.observedAt = mNow - age;
    return report;
  }

  ServerSet mServers;
  ServerHealth mHealth;
  PrefixIndex mPrefixes;
  pcg32 mRandom{ 42 };
  TimePoint mNow = kStart + Millis(10'000);
};

} // namespace

TEST_F(ChoiceTest, PrefersTheLeastLoaded)
{
  add(3);
  for (int i = 0; i < 4; ++i) {
    mServers.started(name(0), false, kStart);
    mServers.started(name(2), false, kStart);
  }
  EXPECT_EQ(choose(request()), name(1));
}

// Guards against sending all work to the first of several idle servers.
TEST_F(ChoiceTest, SpreadsOverEqualServers)
{
  add(8);
  std::map<std::string, int> counts;
  for (int i = 0; i < 800; ++i) {
    ++counts[choose(request())];
  }
  EXPECT_EQ(counts.size(), 8U);
  for (const auto& [server, count] : counts) {
    EXPECT_GT(count, 50) << server;
  }
}

TEST_F(ChoiceTest, AvoidsSlowServers)
{
  add(4);
  for (int i = 0; i < 4; ++i) {
    mHealth.started(name(i), kStart);
    mHealth.progress(name(i), i == 0 ? 2000 : 400, mNow);
  }
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(choose(request()), name(0));
  }
}

TEST_F(ChoiceTest, PrefersAServerThatHoldsThePrefix)
{
  add(100);
  mPrefixes.recordAssignment(name(77), "p");
  auto choiceRequest = request(10);
  choiceRequest.prefix = "p";
  EXPECT_EQ(choose(choiceRequest), name(77));
}

// Guards against overload of the only server that has a popular prefix cached.
TEST_F(ChoiceTest, PrefixDoesNotOverrideTheLoadBound)
{
  add(4);
  mPrefixes.recordAssignment(name(2), "p");
  auto choiceRequest = request(10);
  choiceRequest.prefix = "p";
  std::map<std::string, int> counts;
  for (int i = 0; i < 24; ++i) {
    const auto server = choose(choiceRequest);
    mServers.started(server, false, kStart);
    ++counts[server];
  }
  EXPECT_LE(counts[name(2)], 8);
  EXPECT_EQ(counts.size(), 4U);
}

// Guards against giving a load report that is seconds old as much weight as a
// new one when servers are compared.
TEST_F(ChoiceTest, LateReportsCountLess)
{
  add(2);
  mServers.started(name(1), false, kStart);
  mServers.applyReport(name(0), reportOf(8, Millis(0)));
  EXPECT_EQ(choose(request()), name(1));
  mServers.applyReport(name(1), reportOf(0, Millis(0)));
  add(2);
  mNow += Millis(10'000);
  EXPECT_EQ(choose(request()), name(0));
}

TEST_F(ChoiceTest, KeepsToTheVersion)
{
  add(3);
  mServers.setVersion(name(2), "m", 7, mNow);
  auto choiceRequest = request();
  choiceRequest.version = 7;
  EXPECT_EQ(choose(choiceRequest), name(2));
  choiceRequest.version = 8;
  EXPECT_EQ(choose(choiceRequest), "");
}

TEST_F(ChoiceTest, LongWorkLeavesSlotsFree)
{
  add(1);
  for (int i = 0; i < 6; ++i) {
    mServers.started(name(0), true, kStart);
  }
  auto choiceRequest = request();
  EXPECT_EQ(choose(choiceRequest), name(0));
  choiceRequest.isLong = true;
  EXPECT_EQ(choose(choiceRequest), "");
}

// Guards against finding no server because the sample misses the only free one.
TEST_F(ChoiceTest, FindsTheOnlyFreeServerOfMany)
{
  add(500);
  for (int i = 0; i < 500; ++i) {
    for (int slot = 0; slot < 8 && i != 321; ++slot) {
      mServers.started(name(i), false, kStart);
    }
  }
  EXPECT_EQ(choose(request()), name(321));
  const auto index = chooseRandomServer(request(), view(), mRandom);
  ASSERT_TRUE(index);
  EXPECT_EQ(mServers.at(*index).server.id, name(321));
  EXPECT_TRUE(canPlaceAnywhere(request(), view()));
  for (int slot = 0; slot < 8; ++slot) {
    mServers.started(name(321), false, kStart);
  }
  EXPECT_EQ(choose(request()), "");
  EXPECT_FALSE(canPlaceAnywhere(request(), view()));
}

TEST_F(ChoiceTest, SkipsDownHeldAndExcludedServers)
{
  add(4);
  mHealth.failed(name(0), mNow);
  mHealth.failed(name(0), mNow);
  mServers.hold(name(1));
  auto choiceRequest = request();
  choiceRequest.excludedServers = { name(2) };
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(choose(choiceRequest), name(3));
  }
}

TEST_F(ChoiceTest, UnknownTargetHasNoServer)
{
  add(1);
  auto choiceRequest = request();
  choiceRequest.target = "other";
  EXPECT_EQ(choose(choiceRequest), "");
  EXPECT_FALSE(chooseRandomServer(choiceRequest, view(), mRandom));
}

} // namespace lentilrack::core
