#include "core/attempt_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilrack::core {

namespace {

const TimePoint kStart{ Millis(1'000'000) };

Outcome
outcomeOf(Verdict verdict, std::string reason = "")
{
  Outcome outcome;
  outcome.verdict = verdict;
  outcome.reason = std::move(reason);
  return outcome;
}

} // namespace

// Guards against running a request after the dispatcher replied "barred", that
// is, promised never to start the request: the caller was then told that the
// request never runs.
TEST(AttemptLedger, BarredRequestNeverStarts)
{
  AttemptLedger ledger;
  EXPECT_EQ(ledger.bar("r", kStart)->state, AttemptState::Barred);
  const auto refused = ledger.submit({ "r", 1 }, false, kStart);
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->verdict, Verdict::NotRun);
  EXPECT_FALSE(ledger.start({ "r", 1 }));
}

// Guards against starting a queued request that is barred after a server was
// chosen but before the dispatcher has sent the request's first byte to it.
TEST(AttemptLedger, BarRemovesAQueuedAttempt)
{
  AttemptLedger ledger;
  EXPECT_FALSE(ledger.submit({ "r", 1 }, false, kStart));
  const auto result = ledger.bar("r", kStart);
  EXPECT_EQ(result->state, AttemptState::Barred);
  ASSERT_EQ(result->removed.size(), 1U);
  EXPECT_FALSE(ledger.start({ "r", 1 }));
}

// Guards against replying "barred" after the dispatcher has started the
// request: the server may already have received the request's first byte.
TEST(AttemptLedger, StartedRequestIsNotBarred)
{
  AttemptLedger ledger;
  ledger.submit({ "r", 1 }, false, kStart);
  EXPECT_TRUE(ledger.start({ "r", 1 }));
  EXPECT_EQ(ledger.bar("r", kStart)->state, AttemptState::Started);
  ledger.finish({ "r", 1 }, outcomeOf(Verdict::Done), kStart);
  const auto result = ledger.bar("r", kStart);
  EXPECT_EQ(result->state, AttemptState::Finished);
  EXPECT_EQ(result->outcome->verdict, Verdict::Done);
}

// Guards against running a non-idempotent request twice when another attempt
// arrives while the first is queued or after it has ended.
TEST(AttemptLedger, NonIdempotentRequestRunsOnce)
{
  AttemptLedger ledger;
  ledger.submit({ "r", 1 }, false, kStart);
  EXPECT_EQ(ledger.submit({ "r", 2 }, false, kStart)->verdict,
            Verdict::Unknown);
  EXPECT_TRUE(ledger.start({ "r", 1 }));
  EXPECT_FALSE(ledger.start({ "r", 1 }));
  ledger.finish({ "r", 1 }, outcomeOf(Verdict::Unknown, "timeout"), kStart);
  const auto again = ledger.submit({ "r", 2 }, false, kStart);
  ASSERT_TRUE(again);
  EXPECT_EQ(again->verdict, Verdict::Unknown);
  EXPECT_EQ(again->reason, "timeout");
}

TEST(AttemptLedger, ProvedNotRunAllowsTheNextAttemptOnly)
{
  AttemptLedger ledger;
  ledger.submit({ "r", 1 }, false, kStart);
  ledger.start({ "r", 1 });
  ledger.finish({ "r", 1 }, outcomeOf(Verdict::NotRun, "refused"), kStart);
  EXPECT_EQ(ledger.submit({ "r", 1 }, false, kStart)->reason, "old_attempt");
  EXPECT_FALSE(ledger.submit({ "r", 2 }, false, kStart));
}

// Guards against replacing the Done outcome of a request, or replying "barred"
// for it, after a second attempt of the request ends as NotRun.
TEST(AttemptLedger, DoneOutcomeSurvivesALaterFailedAttempt)
{
  AttemptLedger ledger;
  ledger.submit({ "i", 1 }, true, kStart);
  ledger.submit({ "i", 2 }, true, kStart);
  ledger.start({ "i", 1 });
  ledger.finish({ "i", 1 }, outcomeOf(Verdict::Done), kStart);
  ledger.finish({ "i", 2 }, outcomeOf(Verdict::NotRun, "cancelled"), kStart);
  EXPECT_EQ(ledger.bar("i", kStart)->outcome->verdict, Verdict::Done);
}

// Guards against removing a bar while a ticket with which the request could
// still be sent is valid, and against a ledger that grows without limit.
TEST(AttemptLedger, KeepsBarsForTheRetentionTime)
{
  AttemptLedger ledger;
  ledger.bar("r", kStart);
  ledger.expire(kStart + Millis(20 * 60 * 1000 - 1));
  EXPECT_EQ(ledger.state("r"), AttemptState::Barred);
  ledger.expire(kStart + Millis(20 * 60 * 1000));
  EXPECT_FALSE(ledger.state("r"));
}

TEST(AttemptLedger, RunningAttemptsDoNotExpire)
{
  AttemptLedger ledger;
  ledger.submit({ "r", 1 }, false, kStart);
  ledger.start({ "r", 1 });
  ledger.expire(kStart + Millis(3'600'000));
  EXPECT_EQ(ledger.state("r"), AttemptState::Started);
}

// Guards against reporting a bar that a full ledger could not record.
TEST(AttemptLedger, FullLedgerRecordsNoBar)
{
  AttemptLedger ledger({ Millis(1000), 1 });
  ledger.bar("a", kStart);
  EXPECT_FALSE(ledger.bar("b", kStart));
  EXPECT_EQ(ledger.submit({ "c", 1 }, false, kStart)->reason, "ledger_full");
  EXPECT_TRUE(ledger.bar("b", kStart + Millis(1000)));
}

// Checks under random orders of events that a non-idempotent request starts
// again only after the earlier attempt provably did not run, and never after
// the reply "barred".
RC_GTEST_PROP(AttemptLedger, StartsAtMostOnceAndNeverAfterBar, ())
{
  AttemptLedger ledger;
  std::uint32_t number = 0;
  bool mayHaveRun = false;
  bool barred = false;
  const auto steps =
    *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 6));
  for (const auto step : steps) {
    const AttemptId attempt{ "r", std::max(number, 1U) };
    switch (step) {
      case 0:
        ledger.submit({ "r", ++number }, false, kStart);
        break;
      case 1:
        if (ledger.start(attempt)) {
          RC_ASSERT(!barred);
          RC_ASSERT(!mayHaveRun);
          mayHaveRun = true;
        }
        break;
      case 2:
        if (ledger.state("r") == AttemptState::Started) {
          ledger.finish(attempt, outcomeOf(Verdict::NotRun), kStart);
          mayHaveRun = ledger.state("r") == AttemptState::Started;
        }
        break;
      case 3:
        ledger.finish(attempt, outcomeOf(Verdict::Unknown), kStart);
        break;
      case 4:
        ledger.submit(attempt, false, kStart);
        break;
      default:
        if (ledger.bar("r", kStart)->state == AttemptState::Barred) {
          RC_ASSERT(!mayHaveRun);
          barred = true;
        }
    }
  }
}

} // namespace lentilrack::core
