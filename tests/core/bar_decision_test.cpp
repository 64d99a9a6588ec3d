#include "core/bar_decision.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace lentilrack::core {

namespace {

using State = DispatcherBarReply::State;

DispatcherBarReply
finished(Verdict verdict)
{
  DispatcherBarReply reply;
  reply.state = State::Finished;
  reply.outcome.verdict = verdict;
  return reply;
}

DispatcherBarReply
replyOf(State state)
{
  DispatcherBarReply reply;
  reply.state = state;
  return reply;
}

DispatcherBarReply
replyByNumber(int number)
{
  switch (number) {
    case 0:
      return replyOf(State::None);
    case 1:
      return replyOf(State::Barred);
    case 2:
      return replyOf(State::Started);
    case 3:
      return finished(Verdict::Done);
    case 4:
      return finished(Verdict::NotRun);
    default:
      return finished(Verdict::Unknown);
  }
}

} // namespace

// Guards against reporting Unknown instead of Done for a request that one
// dispatcher has finished, when only the answer is lost.
TEST(BarDecision, DoneAtOneDispatcherIsReportedAsLostAnswer)
{
  const auto outcome =
    outcomeFromBarReplies({ replyOf(State::Barred), finished(Verdict::Done) });
  EXPECT_EQ(outcome.verdict, Verdict::Done);
  EXPECT_EQ(outcome.reason, "answer_lost");
}

// Guards against reporting NotRun for a request that may still run: a single
// dispatcher that has not barred it, that is, not promised never to start it,
// can run it.
RC_GTEST_PROP(BarDecision, NotRunNeedsTheProofOfEveryDispatcher, ())
{
  const auto numbers =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
  std::vector<DispatcherBarReply> replies;
  std::ranges::transform(numbers, std::back_inserter(replies), replyByNumber);
  const bool isProved = std::ranges::all_of(
    numbers, [](int number) { return number == 1 || number == 4; });
  RC_ASSERT((outcomeFromBarReplies(replies).verdict == Verdict::NotRun) ==
            isProved);
}

} // namespace lentilrack::core
