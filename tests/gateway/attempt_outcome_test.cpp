#include "gateway/attempt_outcome.h"
#include "net/error.h"
#include "platform/format.h"

#include <gtest/gtest.h>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;
using net::HttpResult;
using net::NetError;

class AttemptOutcomeTest : public ::testing::Test
{
protected:
  static HttpResult lost(bool sent, bool reusedConnection, int status)
  {
    HttpResult result;
    result.error = NetError::ConnectionLost;
    result.sent = sent;
    result.reusedConnection = reusedConnection;
    result.response.status = status;
    result.hasReceivedBytes = status != 0;
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

  AttemptOutcome classifyResult(const HttpResult& result) const
  {
    return classifyAttempt(result, names());
  }

  const HeaderNames& names() const { return mFormat.headers(); }

private:
  platform::Format mFormat;
};

} // namespace

// Guards against telling the caller that a request was not executed although a
// server may have executed it.
TEST_F(AttemptOutcomeTest, OnlyProofsCountAsNotExecuted)
{
  EXPECT_TRUE(provesNotExecuted(classifyResult(lost(false, false, 0))));
  EXPECT_TRUE(provesNotExecuted(classifyResult(answered(421))));
  EXPECT_TRUE(provesNotExecuted(
    classifyResult(answered(503, { { names().notExecuted, "1" } }))));

  EXPECT_FALSE(provesNotExecuted(classifyResult(answered(200))));
  EXPECT_FALSE(provesNotExecuted(classifyResult(answered(500))));
  EXPECT_FALSE(provesNotExecuted(classifyResult(answered(503))));
  EXPECT_FALSE(provesNotExecuted(classifyResult(lost(true, false, 0))));
  EXPECT_FALSE(provesNotExecuted(classifyResult(lost(true, true, 0))));
  EXPECT_FALSE(provesNotExecuted(classifyResult(lost(true, true, 200))));
}

// Guards against avoiding a server that has only closed an idle connection, and
// against treating a server as healthy that breaks off its responses.
TEST_F(AttemptOutcomeTest, OnlyCloseBeforeAnyResponseIsIdle)
{
  EXPECT_EQ(classifyResult(lost(true, true, 0)),
            AttemptOutcome::ClosedWhenIdle);
  EXPECT_EQ(classifyResult(lost(true, true, 200)), AttemptOutcome::Incomplete);
  EXPECT_EQ(classifyResult(lost(true, false, 0)), AttemptOutcome::Incomplete);
  auto silent = lost(true, true, 0);
  silent.error = NetError::TimedOut;
  EXPECT_EQ(classifyResult(silent), AttemptOutcome::Incomplete);
  auto broken = lost(true, true, 0);
  broken.hasReceivedBytes = true;
  EXPECT_EQ(classifyResult(broken), AttemptOutcome::Incomplete);
}

// Guards against avoiding a server because of an outcome that says nothing
// about its health.
TEST_F(AttemptOutcomeTest, RegistryAvoidsOnlyFailingServers)
{
  const auto now = Clock::now();
  const auto isChosenAfter = [&](AttemptOutcome answer) {
    core::ServerRegistry registry;
    core::ServerEntry server;
    server.id = "s1";
    server.service = "desk";
    registry.apply({ server }, now);
    recordFailedAttempt(registry, server, answer, now);
    core::ServerRequirements requirements;
    requirements.service = "desk";
    requirements.freeSlotOnly = true;
    return registry.choose(requirements, now + Millis(1), 0) != nullptr;
  };
  EXPECT_TRUE(isChosenAfter(AttemptOutcome::ClosedWhenIdle));
  EXPECT_TRUE(isChosenAfter(AttemptOutcome::Cancelled));
  EXPECT_FALSE(isChosenAfter(AttemptOutcome::Incomplete));
  EXPECT_FALSE(isChosenAfter(AttemptOutcome::NotSent));
  EXPECT_FALSE(isChosenAfter(AttemptOutcome::Refused));
  EXPECT_FALSE(isChosenAfter(AttemptOutcome::Misdirected));
}

// Guards against accepting a second response to an earlier request as the
// response to the current request.
TEST_F(AttemptOutcomeTest, ResponseToAnotherRequestIsRejected)
{
  const auto other = answered(200, { { names().requestId, "r2" } });
  const auto anonymous = answered(200).response;
  for (const bool isReused : { false, true }) {
    EXPECT_FALSE(isResponseTo(other.response, names(), "r1", isReused));
    EXPECT_FALSE(isResponseTo(other.response, names(), "", isReused));
    EXPECT_TRUE(isResponseTo(other.response, names(), "r2", isReused));
    EXPECT_TRUE(isResponseTo(anonymous, names(), "", isReused));
  }
  // On a connection that was used before, it may be a late copy.
  EXPECT_TRUE(isResponseTo(anonymous, names(), "r1", false));
  EXPECT_FALSE(isResponseTo(anonymous, names(), "r1", true));
}

} // namespace lentilrack::gateway
