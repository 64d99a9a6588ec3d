#include "core/order_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>

namespace lentilrack::core {

namespace {

using AdmitResult = OrderLedger::AdmitResult;
using State = OrderLedger::State;

constexpr TimePoint kNow{ std::chrono::hours(1) };
constexpr TimePoint kKeep = kNow + std::chrono::minutes(20);

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
  return ledger.admit(id, digestOf(body), kKeep, kNow);
}

} // namespace

// Guards against a duplicate that runs a second time.
TEST(OrderLedger, DuplicateJoinsThenGetsTheRecord)
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

// Guards against an answer that belongs to another body.
TEST(OrderLedger, IdentifierWithOtherBodyIsReused)
{
  OrderLedger ledger;
  admit(ledger, "t.1", "one");
  EXPECT_EQ(admit(ledger, "t.1", "two"), AdmitResult::BodyMismatch);
  ledger.finish("t.1", outcomeOf(Verdict::Done), {});
  EXPECT_EQ(admit(ledger, "t.1", "two"), AdmitResult::BodyMismatch);
}

// Guards against a second attempt while the first may still run.
TEST(OrderLedger, SecondAttemptNeedsProof)
{
  OrderLedger ledger;
  admit(ledger, "t.1");
  EXPECT_EQ(ledger.beginAttempt("t.1"), 1U);
  EXPECT_FALSE(ledger.beginAttempt("t.1"));
  ledger.recordAttemptNotRun("t.1");
  EXPECT_EQ(ledger.beginAttempt("t.1"), 2U);
}

// Guards against a run after the caller was told that there was none.
TEST(OrderLedger, NoAttemptAfterAVerdict)
{
  OrderLedger ledger;
  admit(ledger, "t.1");
  ledger.finish("t.1", outcomeOf(Verdict::NotRun, "overload"), {});
  EXPECT_FALSE(ledger.beginAttempt("t.1"));
  EXPECT_EQ(admit(ledger, "t.1"), AdmitResult::Recorded);
  EXPECT_EQ(ledger.find("t.1")->outcome.reason, "overload");
}

// Guards against NotRun being claimed while an attempt is outstanding.
TEST(OrderLedger, NotRunIsUnknownWhileAnAttemptIsOutstanding)
{
  OrderLedger ledger;
  admit(ledger, "t.1");
  ledger.beginAttempt("t.1");
  const auto stands =
    ledger.finish("t.1", outcomeOf(Verdict::NotRun, "deadline"), {});
  EXPECT_EQ(stands.verdict, Verdict::Unknown);
}

// Guards against two callers being told different things.
TEST(OrderLedger, FirstVerdictStands)
{
  OrderLedger ledger;
  admit(ledger, "t.1");
  ledger.finish("t.1", outcomeOf(Verdict::Unknown, "timeout"), {});
  const auto stands = ledger.finish("t.1", outcomeOf(Verdict::Done), {});
  EXPECT_EQ(stands.verdict, Verdict::Unknown);
  EXPECT_EQ(ledger.find("t.1")->state, State::Unknown);
}

// Guards against a claim that there is no room to remember.
TEST(OrderLedger, FullLedgerTakesNothingNewAndKeepsWhatItHas)
{
  OrderLedger ledger({ 2, 1024, 4096 });
  admit(ledger, "t.1");
  admit(ledger, "t.2");
  EXPECT_EQ(admit(ledger, "t.3"), AdmitResult::Full);
  EXPECT_EQ(admit(ledger, "t.1"), AdmitResult::Joined);
  EXPECT_EQ(ledger.finish("t.3", outcomeOf(Verdict::NotRun), {}).verdict,
            Verdict::Unknown);
}

TEST(OrderLedger, KeepsRecordsUntilTheirTimeAndRunningOnesLonger)
{
  OrderLedger ledger;
  admit(ledger, "t.1");
  admit(ledger, "t.2");
  ledger.finish("t.1", outcomeOf(Verdict::Done), { chunkOf("a") });
  ledger.expire(kKeep);
  EXPECT_EQ(ledger.size(), 2U);
  ledger.expire(kKeep + Millis(1));
  EXPECT_EQ(ledger.find("t.1"), nullptr);
  EXPECT_NE(ledger.find("t.2"), nullptr);
  EXPECT_EQ(ledger.answerBytes(), 0U);
}

// Guards against memory that grows with the answers, and against a Done that
// turns into something else when its answer is dropped.
TEST(OrderLedger, DropsOldAnswersButNotVerdicts)
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

/// What happened to one identifier: the observable facts on which the promises
/// to callers rest.
struct History
{
  int mayRunNow = 0;
  int haveRun = 0;
  std::optional<Verdict> told;
  std::string violation;

  void attemptBegins()
  {
    ++mayRunNow;
    check(mayRunNow <= 1, "two attempts at a time");
    check(haveRun == 0, "attempt after one that may have run");
    check(told != Verdict::NotRun, "attempt after not_run was told");
  }
  void attemptEnds(bool hasRun)
  {
    --mayRunNow;
    haveRun += hasRun ? 1 : 0;
  }
  void tell(Verdict verdict)
  {
    check(!told || *told == verdict, "verdict changed");
    check(verdict != Verdict::NotRun || (mayRunNow == 0 && haveRun == 0),
          "not_run told of a request that may have run");
    told = verdict;
  }
  void check(bool isRight, const char* what)
  {
    if (!isRight && violation.empty()) {
      violation = what;
    }
  }
};

/// Replaces the ledger's decisions in the broken variants.
struct Variant
{
  std::function<std::optional<std::uint32_t>(OrderLedger&)> begin =
    [](OrderLedger& ledger) { return ledger.beginAttempt("t.1"); };
  std::function<Outcome(OrderLedger&, Outcome)> finish = [](OrderLedger& ledger,
                                                            Outcome outcome) {
    return ledger.finish("t.1", std::move(outcome), {});
  };
};

/// Drives a home with any order of steps and returns the first violation.
std::string
violationOf(const std::vector<int>& steps, const Variant& variant)
{
  OrderLedger ledger;
  History history;
  ledger.admit("t.1", digestOf("b"), kKeep, kNow);
  for (const int step : steps) {
    switch (step) {
      case 0:
        if (variant.begin(ledger)) {
          history.attemptBegins();
        }
        break;
      case 1: // The dispatcher proves that the attempt did not run.
        if (history.mayRunNow > 0) {
          history.attemptEnds(false);
          ledger.recordAttemptNotRun("t.1");
        }
        break;
      case 2: // The attempt ran and its whole answer came.
        if (history.mayRunNow > 0) {
          history.attemptEnds(true);
          history.tell(
            variant.finish(ledger, outcomeOf(Verdict::Done)).verdict);
        }
        break;
      case 3: // The deadline passes, whatever is outstanding.
        history.tell(
          variant.finish(ledger, outcomeOf(Verdict::NotRun)).verdict);
        break;
      default: // A duplicate asks.
        if (ledger.admit("t.1", digestOf("b"), kKeep, kNow) ==
            AdmitResult::Recorded) {
          history.tell(ledger.find("t.1")->outcome.verdict);
        }
    }
  }
  return history.violation;
}

/// Whether some short sequence of steps makes the variant break a promise.
bool
breaks(const Variant& variant)
{
  for (int code = 0; code < 3125; ++code) {
    std::vector<int> steps;
    for (int rest = code, i = 0; i < 5; ++i, rest /= 5) {
      steps.push_back(rest % 5);
    }
    if (!violationOf(steps, variant).empty()) {
      return true;
    }
  }
  return false;
}

} // namespace

RC_GTEST_PROP(OrderLedger, KeepsItsPromisesInAnyOrderOfEvents, ())
{
  const auto steps =
    *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 5));
  RC_ASSERT(violationOf(steps, {}) == "");
}

// Shows that the check above sees each kind of broken home.
TEST(OrderLedger, CheckCatchesBrokenVariants)
{
  EXPECT_FALSE(breaks({}));
  Variant repeats;
  repeats.begin = [](OrderLedger&) { return 1U; };
  EXPECT_TRUE(breaks(repeats));
  Variant claims;
  claims.finish = [](OrderLedger&, Outcome outcome) { return outcome; };
  EXPECT_TRUE(breaks(claims));
}

} // namespace lentilrack::core
