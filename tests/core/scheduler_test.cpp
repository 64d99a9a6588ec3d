#include "scheduler_fixture.h"

#include <set>

namespace lentilrack::core {

namespace {

class SchedulerTest : public SchedulerFixture
{};

} // namespace

TEST_F(SchedulerTest, RunsWorkToItsEnd)
{
  make(2, 4);
  const auto id = accept(submission("r"));
  const auto start = startNext();
  EXPECT_EQ(start.job, id);
  EXPECT_EQ(start.run, 1);
  EXPECT_FALSE(mScheduler->next(mNow));
  EXPECT_TRUE(mScheduler->begin(id, mNow));
  mScheduler->progress(id, { "x", 100, 1 }, mNow);
  const auto result = mScheduler->finished(id, outcome(Verdict::Done), mNow);
  ASSERT_TRUE(result);
  EXPECT_EQ(result->verdict, Verdict::Done);
  EXPECT_EQ(mScheduler->ledger().state("r"), AttemptState::Finished);
  EXPECT_EQ(mScheduler->running(), 0U);
  EXPECT_EQ(mScheduler->servers().find(start.server)->running, 0);
}

TEST_F(SchedulerTest, UnknownTargetIsRefused)
{
  make(1, 1);
  auto orderSubmission = submission("r");
  orderSubmission.work.target = "missing";
  EXPECT_EQ(refuse(orderSubmission).reason, "no_server");
  orderSubmission = submission("r");
  orderSubmission.work.version = 9;
  EXPECT_EQ(refuse(orderSubmission).reason, "version_unavailable");
  EXPECT_EQ(mScheduler->ledger().size(), 0U);
}

// Guards against a request that is sent after its deadline because the process
// was paused between the scheduling decision and the write.
TEST_F(SchedulerTest, DoesNotBeginAfterTheDeadline)
{
  make(1, 1);
  const auto id = accept(submission("r"));
  startNext();
  mNow += Millis(30'000);
  EXPECT_FALSE(mScheduler->begin(id, mNow));
  const auto result =
    mScheduler->finished(id, outcome(Verdict::NotRun, "deadline"), mNow);
  EXPECT_EQ(result->verdict, Verdict::NotRun);
}

// Guards against beginning a run when its request is barred (promised never to
// run) after a server was chosen.
TEST_F(SchedulerTest, DoesNotBeginAfterABar)
{
  make(1, 1);
  const auto id = accept(submission("r"));
  startNext();
  const auto answer = mScheduler->bar("r", mNow);
  EXPECT_EQ(answer->state, AttemptState::Barred);
  EXPECT_FALSE(mScheduler->begin(id, mNow));
  const auto result =
    mScheduler->finished(id, outcome(Verdict::NotRun, "deadline"), mNow);
  EXPECT_EQ(result->reason, "barred");
}

TEST_F(SchedulerTest, BarRemovesQueuedWork)
{
  make(1, 1);
  accept(submission("first"));
  startNext();
  const auto id = accept(submission("r"));
  const auto answer = mScheduler->bar("r", mNow);
  ASSERT_EQ(answer->ended.size(), 1U);
  EXPECT_EQ(answer->ended[0].job, id);
  EXPECT_EQ(answer->ended[0].outcome.verdict, Verdict::NotRun);
  EXPECT_EQ(mScheduler->queued(), 0U);
}

// Guards against refusing a second attempt for load while the first one runs:
// the caller would conclude that the request has not run.
TEST_F(SchedulerTest, DuplicateOfRunningWorkIsNeverNotRun)
{
  make(1, 1);
  auto orderSubmission = submission("r");
  orderSubmission.row.maxConcurrent = 1;
  const auto id = accept(orderSubmission);
  startNext();
  mScheduler->begin(id, mNow);
  orderSubmission.attempt.number = 2;
  EXPECT_EQ(refuse(orderSubmission).verdict, Verdict::Unknown);
}

// Guards against ending an order with an error because a leaving server
// refused it.
TEST_F(SchedulerTest, RefusedWorkRunsOnAnotherServer)
{
  make(2, 4);
  const auto id = accept(submission("r"));
  const auto first = startNext();
  EXPECT_TRUE(mScheduler->begin(id, mNow));
  EXPECT_FALSE(
    mScheduler->finished(id, outcome(Verdict::NotRun, "refused"), mNow));
  EXPECT_EQ(mScheduler->ledger().state("r"), AttemptState::Queued);
  EXPECT_FALSE(mScheduler->servers().find(first.server)->isOpen(mNow));
  const auto second = startNext();
  EXPECT_NE(second.server, first.server);
  EXPECT_EQ(second.run, 2);
  EXPECT_TRUE(mScheduler->begin(id, mNow));
  EXPECT_EQ(mScheduler->finished(id, outcome(Verdict::Done), mNow)->verdict,
            Verdict::Done);
}

// Guards against running a non-idempotent order again after an interruption:
// the server may have executed the first run.
TEST_F(SchedulerTest, InterruptedOrderIsNotRepeated)
{
  make(2, 4);
  const auto id = accept(submission("r"));
  startNext();
  mScheduler->begin(id, mNow);
  const auto result =
    mScheduler->finished(id, outcome(Verdict::Unknown, "interrupted"), mNow);
  ASSERT_TRUE(result);
  EXPECT_EQ(result->verdict, Verdict::Unknown);
  auto again = submission("r");
  again.attempt.number = 2;
  EXPECT_EQ(refuse(again).verdict, Verdict::Unknown);
}

// Guards against an answer to an idempotent order that joins tokens of two
// runs, when the first run failed after its first token.
TEST_F(SchedulerTest, IdempotentOrderIsRepeatedOnlyBeforeItsFirstToken)
{
  make(2, 4);
  auto orderSubmission = submission("a");
  orderSubmission.work.idempotent = true;
  auto id = accept(orderSubmission);
  startNext();
  mScheduler->begin(id, mNow);
  EXPECT_FALSE(
    mScheduler->finished(id, outcome(Verdict::Unknown, "interrupted"), mNow));
  startNext();
  EXPECT_TRUE(mScheduler->begin(id, mNow));
  mScheduler->progress(id, { "x", 10, 1 }, mNow);
  EXPECT_TRUE(
    mScheduler->finished(id, outcome(Verdict::Unknown, "interrupted"), mNow));
}

TEST_F(SchedulerTest, InterruptedRolloutResumesFromItsOffset)
{
  make(3, 4);
  const auto id = accept(submission("r", WorkType::Rollout));
  startNext();
  mScheduler->begin(id, mNow);
  mScheduler->progress(id, { "x", 40, 1 }, mNow);
  EXPECT_FALSE(
    mScheduler->finished(id, outcome(Verdict::Unknown, "interrupted"), mNow));
  const auto start = startNext();
  EXPECT_EQ(start.work.offset, 40);
  EXPECT_EQ(start.work.version, 1);
  EXPECT_TRUE(mScheduler->begin(id, mNow));
  mScheduler->progress(id, { "y", 60, 1 }, mNow);
  const auto result = mScheduler->finished(id, outcome(Verdict::Done), mNow);
  EXPECT_EQ(result->totalTokens, 100);
  EXPECT_EQ(result->segments, (std::vector<Segment>{ { 1, 0, 100 } }));
}

// Guards against endless retries when every server refuses.
TEST_F(SchedulerTest, ReroutesAreBounded)
{
  make(6, 4);
  const auto id = accept(submission("r"));
  int runs = 0;
  for (int i = 0; i < 20; ++i) {
    mNow += Millis(3000);
    if (!mScheduler->next(mNow)) {
      break;
    }
    ++runs;
    mScheduler->finished(
      id, outcome(Verdict::NotRun, "connection_refused"), mNow);
  }
  EXPECT_EQ(runs, 4);
  EXPECT_EQ(mScheduler->queued() + mScheduler->running(), 0U);
}

// Guards against urgent short work that waits for a long rollout to end.
TEST_F(SchedulerTest, UrgentWorkPreemptsALongRolloutWhichResumes)
{
  make(1, 1);
  learn(100);
  const auto rollout = accept(submission("roll", WorkType::Rollout, 3000));
  startNext();
  mScheduler->begin(rollout, mNow);
  mNow += Millis(500);
  mScheduler->progress(rollout, { "x", 100, 1 }, mNow);
  const auto order = accept(submission("order"));
  EXPECT_FALSE(mScheduler->next(mNow));
  EXPECT_TRUE(mScheduler->preemptions(mNow).empty());
  mNow += Millis(50);
  EXPECT_EQ(mScheduler->preemptions(mNow), std::vector<JobId>{ rollout });
  EXPECT_TRUE(mScheduler->preemptions(mNow).empty());
  EXPECT_FALSE(mScheduler->finished(
    rollout, outcome(Verdict::Unknown, "cancelled"), mNow));
  EXPECT_EQ(startNext().job, order);
  mScheduler->begin(order, mNow);
  mScheduler->finished(order, outcome(Verdict::Done), mNow);
  const auto resumed = startNext();
  EXPECT_EQ(resumed.job, rollout);
  EXPECT_EQ(resumed.work.offset, 100);
  EXPECT_EQ(resumed.work.version, 1);
  EXPECT_TRUE(mScheduler->begin(rollout, mNow));
}

// Guards against an interrupted rollout that waits for ever for a weight
// version that no server has any more.
TEST_F(SchedulerTest, ResumesOnAnotherVersionIfTheOldOneIsGone)
{
  make(1, 1);
  const auto id = accept(submission("roll", WorkType::Rollout));
  startNext();
  mScheduler->begin(id, mNow);
  mScheduler->progress(id, { "x", 10, 1 }, mNow);
  mScheduler->finished(id, outcome(Verdict::Unknown, "interrupted"), mNow);
  setVersions(2);
  mNow += Millis(1000);
  EXPECT_TRUE(mScheduler->advance(mNow).empty());
  // The only server is excluded because it has just failed this job, so another
  // one is added.
  BackendServer other = mBackendServers[0];
  other.id = "other";
  mBackendServers.push_back(other);
  applyList();
  setVersions(2);
  const auto start = startNext();
  EXPECT_FALSE(start.work.version);
  EXPECT_EQ(start.work.offset, 10);
  mScheduler->begin(id, mNow);
  mScheduler->progress(id, { "y", 90, 2 }, mNow);
  const auto result = mScheduler->finished(id, outcome(Verdict::Done), mNow);
  EXPECT_EQ(result->segments,
            (std::vector<Segment>{ { 1, 0, 10 }, { 2, 10, 100 } }));
}

// Guards against segments that assign a version to tokens whose version the
// engine did not report.
TEST_F(SchedulerTest, UnknownVersionsGiveNoSegments)
{
  make(2, 2);
  const auto id = accept(submission("roll", WorkType::Rollout));
  startNext();
  mScheduler->begin(id, mNow);
  mScheduler->progress(id, { "x", 10, std::nullopt }, mNow);
  mScheduler->finished(id, outcome(Verdict::Unknown, "interrupted"), mNow);
  startNext();
  mScheduler->progress(id, { "y", 90, 1 }, mNow);
  const auto result = mScheduler->finished(id, outcome(Verdict::Done), mNow);
  EXPECT_TRUE(result->segments.empty());
}

TEST_F(SchedulerTest, CancelRemovesQueuedWorkAndMarksRunningWork)
{
  make(1, 1);
  const auto running = accept(submission("a", WorkType::Rollout));
  startNext();
  const auto waiting = accept(submission("b"));
  EXPECT_EQ(mScheduler->cancel(waiting, mNow)->verdict, Verdict::NotRun);
  mScheduler->begin(running, mNow);
  EXPECT_FALSE(mScheduler->cancel(running, mNow));
  EXPECT_TRUE(mScheduler->finished(
    running, outcome(Verdict::Unknown, "interrupted"), mNow));
}

TEST_F(SchedulerTest, WorkPastItsLatestStartIsRefused)
{
  make(1, 1);
  accept(submission("a"));
  startNext();
  const auto id = accept(submission("b"));
  mNow += Millis(30'001);
  const auto ended = mScheduler->advance(mNow);
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(ended[0].job, id);
  EXPECT_EQ(ended[0].outcome.reason, "deadline");
  EXPECT_EQ(ended[0].outcome.verdict, Verdict::NotRun);
}

// Guards against work that stays queued for servers which this dispatcher no
// longer owns, and so waits until its deadline.
TEST_F(SchedulerTest, QueuedWorkWithoutAnyServerLeftIsRefused)
{
  make(1, 1);
  accept(submission("a"));
  startNext();
  accept(submission("b"));
  mBackendServers.clear();
  applyList();
  mNow += Millis(1000);
  const auto ended = mScheduler->advance(mNow);
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(ended[0].outcome.reason, "no_server");
  EXPECT_EQ(mScheduler->running(), 1U);
}

// Guards against long work that occupies every slot because it was estimated to
// be short.
TEST_F(SchedulerTest, WorkThatTurnsOutLongCountsAsLong)
{
  make(1, 2);
  learn(100);
  const auto id = accept(submission("r", WorkType::Rollout, 100));
  startNext();
  mScheduler->progress(id, { "x", 1000, 1 }, mNow);
  EXPECT_EQ(mScheduler->servers().find("s0")->runningLong, 1);
  accept(submission("long", WorkType::Rollout, 5000));
  EXPECT_FALSE(mScheduler->next(mNow));
  const auto order = accept(submission("short"));
  EXPECT_EQ(startNext().job, order);
}

TEST_F(SchedulerTest, ReportsItsLoad)
{
  make(2, 4);
  learn(100);
  accept(submission("a"));
  startNext();
  accept(submission("b"));
  const auto load = mScheduler->load(mNow).at("m");
  EXPECT_EQ(load.servers, 2);
  EXPECT_EQ(load.slots, 8);
  EXPECT_EQ(load.running, 1);
  EXPECT_NEAR(load.queuedTokens, 100, 1);
  EXPECT_GT(load.tokenRate, 0);
}

TEST_F(SchedulerTest, BaselineIsFifoOverRandomServers)
{
  make(4, 8, baselineHooks());
  auto late = submission("a", WorkType::Rollout);
  const auto first = accept(late);
  mNow += Millis(1);
  const auto second = accept(submission("b"));
  EXPECT_EQ(startNext().job, first);
  EXPECT_EQ(startNext().job, second);
  std::set<std::string> servers;
  for (int i = 0; i < 20; ++i) {
    accept(submission("c" + std::to_string(i)));
    servers.insert(startNext().server);
  }
  EXPECT_GE(servers.size(), 3U);
}

} // namespace lentilrack::core
