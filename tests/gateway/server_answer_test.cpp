#include "gateway/server_answer.h"
#include "net/error.h"
#include "platform/format.h"

#include <gtest/gtest.h>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;
using net::HttpResult;
using net::NetError;

class ServerAnswerTest : public ::testing::Test
{
protected:
  static HttpResult lost(bool sent, bool onKeptConnection, int status)
  {
    HttpResult result;
    result.error = NetError::ConnectionLost;
    result.sent = sent;
    result.onKeptConnection = onKeptConnection;
    result.response.status = status;
    return result;
  }

  static HttpResult answered(int status, net::Headers headers = {})
  {
    HttpResult result;
    result.sent = true;
    result.response.status = status;
    result.response.headers = std::move(headers);
    return result;
  }

  ServerAnswer classify(const HttpResult& result) const
  {
    return classifyAnswer(result, names());
  }

  const HeaderNames& names() const { return mFormat.headers(); }

private:
  platform::Format mFormat;
};

} // namespace

// Guards against a request that ran being reported as not run.
TEST_F(ServerAnswerTest, OnlyProofsCountAsNotRun)
{
  EXPECT_TRUE(provesNotRun(classify(lost(false, false, 0))));
  EXPECT_TRUE(provesNotRun(classify(answered(421))));
  EXPECT_TRUE(
    provesNotRun(classify(answered(503, { { names().notRun, "1" } }))));

  EXPECT_FALSE(provesNotRun(classify(answered(200))));
  EXPECT_FALSE(provesNotRun(classify(answered(500))));
  EXPECT_FALSE(provesNotRun(classify(answered(503))));
  EXPECT_FALSE(provesNotRun(classify(lost(true, false, 0))));
  EXPECT_FALSE(provesNotRun(classify(lost(true, true, 0))));
  EXPECT_FALSE(provesNotRun(classify(lost(true, true, 200))));
}

// Guards against a server being avoided since it has closed an idle connection,
// and against one that breaks its answers being taken for sound.
TEST_F(ServerAnswerTest, OnlyCloseBeforeAnyAnswerIsIdle)
{
  EXPECT_EQ(classify(lost(true, true, 0)), ServerAnswer::ClosedWhenIdle);
  EXPECT_EQ(classify(lost(true, true, 200)), ServerAnswer::Broken);
  EXPECT_EQ(classify(lost(true, false, 0)), ServerAnswer::Broken);
  auto silent = lost(true, true, 0);
  silent.error = NetError::TimedOut;
  EXPECT_EQ(classify(silent), ServerAnswer::Broken);
}

// Guards against blame for what says nothing of the server's health.
TEST_F(ServerAnswerTest, RegistryAvoidsOnlyServersInTrouble)
{
  const auto now = Clock::now();
  const auto isChosenAfter = [&](ServerAnswer answer) {
    core::ServerRegistry registry;
    core::ServerEntry server;
    server.id = "s1";
    server.service = "desk";
    registry.apply({ server }, now);
    noteTrouble(registry, server, answer, now);
    core::ServerRequirements need;
    need.service = "desk";
    need.freeSlotOnly = true;
    return registry.choose(need, now + Millis(1), 0) != nullptr;
  };
  EXPECT_TRUE(isChosenAfter(ServerAnswer::ClosedWhenIdle));
  EXPECT_TRUE(isChosenAfter(ServerAnswer::Cancelled));
  EXPECT_FALSE(isChosenAfter(ServerAnswer::Broken));
  EXPECT_FALSE(isChosenAfter(ServerAnswer::NotSent));
  EXPECT_FALSE(isChosenAfter(ServerAnswer::Refused));
  EXPECT_FALSE(isChosenAfter(ServerAnswer::Misdirected));
}

// Guards against an extra answer of an earlier request being taken for the one
// that is due.
TEST_F(ServerAnswerTest, AnswerOfAnotherRequestIsNotAccepted)
{
  const auto other = answered(200, { { names().requestId, "r2" } });
  EXPECT_FALSE(answersRequest(other.response, names(), "r1"));
  EXPECT_TRUE(answersRequest(other.response, names(), "r2"));
  EXPECT_TRUE(answersRequest(answered(200).response, names(), "r1"));
}

} // namespace lentilrack::gateway
