#include "core/order_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>

namespace lentilrack::core {

namespace {

using AdmitResult = OrderLedger::AdmitResult;
using State = OrderLedger::State;

constexpr TimePoint kNow{ std::chrono::hours(1) };
constexpr TimePoint kKeepUntil = kNow + std::chrono::minutes(20);

Outcome
outcomeOf(Verdict verdict, std::string reason = "")
{
  Outcome outcome;
  outcome.verdict = verdict;
  outcome.reason = std::move(reason);
  return outcome;
}

Chunk
chunkOf(std::string text, std::int64_t version = 1)
{
  return { std::move(text), 1, version };
}

AdmitResult
admit(OrderLedger& ledger, const std::string& id, const std::string& body = "b")
{
  return ledger.admit(id, digestOf(body), kKeepUntil, kNow);
}

} // namespace

// Guards against running a duplicate request a second time.
TEST(OrderLedger, DuplicateJoinsThenGetsTheRecordedOutcome)
{
  OrderLedger ledger;
  EXPECT_EQ(admit(ledger, "t.1"), AdmitResult::New);
  EXPECT_EQ(admit(ledger, "t.1"), AdmitResult::Joined);
  EXPECT_EQ(ledger.beginAttempt("t.1"), 1U);
  ledger.finish(
    "t.1", outcomeOf(Verdict::Done), { chunkOf("a"), chunkOf("b") });
  EXPECT_EQ(admit(ledger, "t.1"), AdmitResult::Recorded);
  const auto* record = ledger.find("t.1");
  EXPECT_EQ(record->state, State::Done);
  ASSERT_EQ(record->answer.size(), 1U);
  EXPECT_EQ(record->answer.front().text, "ab");
  EXPECT_EQ(record->answer.front().tokens, 2);
}

// Guards against returning the answer of a request with a different body.
TEST(OrderLedger, IdentifierWithOtherBodyIsRefused)
{
  OrderLedger ledger;
  admit(ledger, "t.1", "one");
  EXPECT_EQ(admit(ledger, "t.1", "two"), AdmitResult::BodyMismatch);
  ledger.finish("t.1", outcomeOf(Verdict::Done), {});
  EXPECT_EQ(admit(ledger, "t.1", "two"), AdmitResult::BodyMismatch);
}

// Guards against beginning a second attempt while the first may still run.
TEST(OrderLedger, SecondAttemptNeedsProofOfNotRun)
{
  OrderLedger ledger;
  admit(ledger, "t.1");
  EXPECT_EQ(ledger.beginAttempt("t.1"), 1U);
  EXPECT_FALSE(ledger.beginAttempt("t.1"));
  ledger.recordAttemptNotRun("t.1");
  EXPECT_EQ(ledger.beginAttempt("t.1"), 2U);
}

// Guards against running an order after not_run was reported to the caller.
TEST(OrderLedger, NoAttemptAfterAnOutcome)
{
  OrderLedger ledger;
  admit(ledger, "t.1");
  ledger.finish("t.1", outcomeOf(Verdict::NotRun, "overload"), {});
  EXPECT_FALSE(ledger.beginAttempt("t.1"));
  EXPECT_EQ(admit(ledger, "t.1"), AdmitResult::Recorded);
  EXPECT_EQ(ledger.find("t.1")->outcome.reason, "overload");
}

// Guards against reporting NotRun at the deadline of an order while one of its
// attempts is outstanding and may still run.
TEST(OrderLedger, NotRunIsUnknownWhileAnAttemptIsOutstanding)
{
  OrderLedger ledger;
  admit(ledger, "t.1");
  ledger.beginAttempt("t.1");
  const auto recorded =
    ledger.finish("t.1", outcomeOf(Verdict::NotRun, "deadline"), {});
  EXPECT_EQ(recorded.verdict, Verdict::Unknown);
}

// Guards against reporting different verdicts to two callers of one order when
// a second outcome arrives after the first.
TEST(OrderLedger, FirstOutcomeIsKept)
{
  OrderLedger ledger;
  admit(ledger, "t.1");
  ledger.finish("t.1", outcomeOf(Verdict::Unknown, "timeout"), {});
  const auto recorded = ledger.finish("t.1", outcomeOf(Verdict::Done), {});
  EXPECT_EQ(recorded.verdict, Verdict::Unknown);
  EXPECT_EQ(ledger.find("t.1")->state, State::Unknown);
}

// Guards against reporting an outcome that the ledger has no room to record.
TEST(OrderLedger, FullLedgerRefusesNewOrdersAndKeepsRecords)
{
  OrderLedger ledger({ 2, 1024, 4096 });
  admit(ledger, "t.1");
  admit(ledger, "t.2");
  EXPECT_EQ(admit(ledger, "t.3"), AdmitResult::Full);
  EXPECT_EQ(admit(ledger, "t.1"), AdmitResult::Joined);
  EXPECT_EQ(ledger.finish("t.3", outcomeOf(Verdict::NotRun), {}).verdict,
            Verdict::Unknown);
}

TEST(OrderLedger, KeepsFinishedRecordsUntilTheirTimeAndOthersLonger)
{
  OrderLedger ledger;
  admit(ledger, "t.1");
  admit(ledger, "t.2");
  ledger.finish("t.1", outcomeOf(Verdict::Done), { chunkOf("a") });
  ledger.expire(kKeepUntil);
  EXPECT_EQ(ledger.size(), 2U);
  ledger.expire(kKeepUntil + Millis(1));
  EXPECT_EQ(ledger.find("t.1"), nullptr);
  EXPECT_NE(ledger.find("t.2"), nullptr);
  EXPECT_EQ(ledger.answerBytes(), 0U);
}

// Guards against memory use that grows with every answer, and against a Done
// verdict that changes when its answer is dropped.
TEST(OrderLedger, DropsOldAnswersButKeepsVerdicts)
{
  OrderLedger ledger({ 100, 1024, 2500 });
  for (const auto* id : { "t.1", "t.2", "t.3" }) {
    admit(ledger, id);
    ledger.finish(
      id, outcomeOf(Verdict::Done), { chunkOf(std::string(900, 'x')) });
  }
  EXPECT_LE(ledger.answerBytes(), 2500U);
  EXPECT_EQ(ledger.find("t.1")->outcome.verdict, Verdict::Done);
  EXPECT_EQ(ledger.find("t.1")->outcome.reason, "answer_lost");
  EXPECT_EQ(ledger.find("t.3")->outcome.reason, "");
  admit(ledger, "t.4");
  ledger.finish(
    "t.4", outcomeOf(Verdict::Done), { chunkOf(std::string(5000, 'x')) });
  EXPECT_EQ(ledger.find("t.4")->outcome.reason, "answer_lost");
}

namespace {

/// Counts the attempts of one order, records the verdict reported to its
/// callers, and checks after each event that the guarantees to callers hold.
struct ObservedEvents
{
  int outstanding = 0;
  int completedRuns = 0;
  std::optional<Verdict> reported;
  std::string violation;

  void recordAttemptStart()
  {
    ++outstanding;
    check(outstanding <= 1, "two attempts at the same time");
    check(completedRuns == 0, "attempt after one that may have run");
    check(reported != Verdict::NotRun, "attempt after not_run was reported");
  }
  void recordAttemptEnd(bool hasRun)
  {
    --outstanding;
    completedRuns += hasRun ? 1 : 0;
  }
  void report(Verdict verdict)
  {
    check(!reported || *reported == verdict, "verdict changed");
    check(verdict != Verdict::NotRun ||
            (outstanding == 0 && completedRuns == 0),
          "not_run reported for a request that may have run");
    reported = verdict;
  }
  void check(bool holds, const char* what)
  {
    if (!holds && violation.empty()) {
      violation = what;
    }
  }
};

/// Ledger functions under test. A test can replace one of them by a broken
/// version to show that the checks detect it.
struct LedgerFunctions
{
  std::function<std::optional<std::uint32_t>(OrderLedger&)> begin =
    [](OrderLedger& ledger) { return ledger.beginAttempt("t.1"); };
  std::function<Outcome(OrderLedger&, Outcome)> finish = [](OrderLedger& ledger,
                                                            Outcome outcome) {
    return ledger.finish("t.1", std::move(outcome), {});
  };
};

/// Runs a sequence of events, 0 to 4, against a ledger. Returns the first
/// violation of a guarantee, or an empty text.
std::string
violationOf(const std::vector<int>& steps, const LedgerFunctions& functions)
{
  OrderLedger ledger;
  ObservedEvents observed;
  ledger.admit("t.1", digestOf("b"), kKeepUntil, kNow);
  for (const int step : steps) {
    switch (step) {
      case 0:
        if (functions.begin(ledger)) {
          observed.recordAttemptStart();
        }
        break;
      case 1: // The dispatcher proves that the attempt did not run.
        if (observed.outstanding > 0) {
          observed.recordAttemptEnd(false);
          ledger.recordAttemptNotRun("t.1");
        }
        break;
      case 2: // The attempt ran and its complete answer arrived.
        if (observed.outstanding > 0) {
          observed.recordAttemptEnd(true);
          observed.report(
            functions.finish(ledger, outcomeOf(Verdict::Done)).verdict);
        }
        break;
      case 3: // The deadline passes, with or without an attempt.
        observed.report(
          functions.finish(ledger, outcomeOf(Verdict::NotRun)).verdict);
        break;
      default: // A duplicate request arrives.
        if (ledger.admit("t.1", digestOf("b"), kKeepUntil, kNow) ==
            AdmitResult::Recorded) {
          observed.report(ledger.find("t.1")->outcome.verdict);
        }
    }
  }
  return observed.violation;
}

/// Returns whether any sequence of five events makes the functions violate a
/// guarantee.
bool
findsViolation(const LedgerFunctions& functions)
{
  for (int sequence = 0; sequence < 3125; ++sequence) {
    std::vector<int> steps;
    for (int remainder = sequence, i = 0; i < 5; ++i, remainder /= 5) {
      steps.push_back(remainder % 5);
    }
    if (!violationOf(steps, functions).empty()) {
      return true;
    }
  }
  return false;
}

} // namespace

RC_GTEST_PROP(OrderLedger, KeepsItsGuaranteesInAnyOrderOfEvents, ())
{
  const auto steps =
    *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 5));
  RC_ASSERT(violationOf(steps, {}) == "");
}

// Shows that the property above fails for a ledger that starts two attempts
// and for one that reports NotRun without proof.
TEST(OrderLedger, PropertyDetectsBrokenLedgers)
{
  EXPECT_FALSE(findsViolation({}));
  LedgerFunctions repeatedAttempts;
  repeatedAttempts.begin = [](OrderLedger&) { return 1U; };
  EXPECT_TRUE(findsViolation(repeatedAttempts));
  LedgerFunctions unprovedNotRun;
  unprovedNotRun.finish = [](OrderLedger&, Outcome outcome) { return outcome; };
  EXPECT_TRUE(findsViolation(unprovedNotRun));
}

} // namespace lentilrack::core
