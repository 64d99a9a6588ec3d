#include "load/edit_check.h"
#include "load/ledger_check.h"

#include <gtest/gtest.h>

// Guards against checks of the load tool that miss a violated guarantee or
// report one that holds. Each test gives a check records with or without a
// violation.
namespace lentilrack::load {

namespace {

class LedgerCheckTest : public ::testing::Test
{
protected:
  void recordOrder(core::Verdict verdict,
                   bool isIdempotent,
                   bool isTextCorrect = true)
  {
    OrderResult result;
    result.verdict = verdict;
    result.prompt = "p";
    result.tokens = 20;
    result.isTextCorrect = isTextCorrect;
    mCheck.recordResult({ "short", "desk", 20, isIdempotent }, result);
    mReport.done += verdict == core::Verdict::Done ? 1 : 0;
  }

  std::int64_t violations(RunCounts runs)
  {
    mCheck.compare(runs, mReport);
    return mReport.violations;
  }

  LedgerCheck mCheck;
  Report mReport;
};

} // namespace

TEST_F(LedgerCheckTest, AcceptsOneRunOfADoneOrder)
{
  recordOrder(core::Verdict::Done, false);
  EXPECT_EQ(violations({ { "p", 1 } }), 0);
}

TEST_F(LedgerCheckTest, DetectsSecondRunOfNonIdempotentOrder)
{
  recordOrder(core::Verdict::Done, false);
  EXPECT_EQ(violations({ { "p", 2 } }), 1);
}

TEST_F(LedgerCheckTest, AcceptsSecondRunOfIdempotentOrderAsExtraAttempt)
{
  recordOrder(core::Verdict::Done, true);
  EXPECT_EQ(violations({ { "p", 2 } }), 0);
  EXPECT_DOUBLE_EQ(mReport.extraAttemptsRatio, 1);
}

TEST_F(LedgerCheckTest, DetectsNotRunOrderThatRan)
{
  recordOrder(core::Verdict::NotRun, false);
  EXPECT_EQ(violations({ { "p", 1 } }), 1);
}

TEST_F(LedgerCheckTest, DetectsDoneOrderThatNeverRan)
{
  recordOrder(core::Verdict::Done, false);
  EXPECT_EQ(violations({}), 1);
}

TEST_F(LedgerCheckTest, DetectsWrongOrIncompleteAnswer)
{
  recordOrder(core::Verdict::Done, true, false);
  EXPECT_EQ(violations({ { "p", 1 } }), 1);
}

TEST(EditCheckTest, DetectsRevertedEditsWrongBasesAndSharedRevisions)
{
  EditCheck check;
  check.recordAccepted("short", { 2, 1, 100 });
  check.recordAccepted("short", { 3, 2, 200 });
  Report good;
  check.checkFinalRow("short", 3, 200, good);
  check.checkEditSequences(good);
  EXPECT_EQ(good.violations, 0);

  Report reverted;
  check.checkFinalRow("short", 2, 100, reverted);
  EXPECT_EQ(reverted.violations, 1);

  check.recordAccepted("short", { 4, 2, 300 });
  Report wrongBase;
  check.checkEditSequences(wrongBase);
  EXPECT_EQ(wrongBase.violations, 1);

  check.recordAccepted("short", { 4, 3, 400 });
  Report sharedRevision;
  check.checkEditSequences(sharedRevision);
  EXPECT_EQ(sharedRevision.violations, 2);
}

TEST(SamplesTest, QuantilesAreExact)
{
  Samples samples;
  EXPECT_EQ(samples.quantile(0.99), 0);
  for (int i = 1; i <= 101; ++i) {
    samples.add(i);
  }
  EXPECT_EQ(samples.quantile(0.5), 51);
  EXPECT_EQ(samples.quantile(0.99), 100);
  EXPECT_EQ(samples.quantile(1), 101);
}

} // namespace lentilrack::load
