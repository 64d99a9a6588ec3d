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
  DispatcherBarReply answer;
  answer.state = State::Finished;
  answer.outcome.verdict = verdict;
  return answer;
}

DispatcherBarReply
answerOf(State state)
{
  DispatcherBarReply answer;
  answer.state = state;
  return answer;
}

DispatcherBarReply
sample(int number)
{
  switch (number) {
    case 0:
      return answerOf(State::None);
    case 1:
      return answerOf(State::Barred);
    case 2:
      return answerOf(State::Started);
    case 3:
      return finished(Verdict::Done);
    case 4:
      return finished(Verdict::NotRun);
    default:
      return finished(Verdict::Unknown);
  }
}

} // namespace

TEST(BarDecision, ReportsAnAnswerThatIsLost)
{
  const auto outcome =
    outcomeFromBarReplies({ answerOf(State::Barred), finished(Verdict::Done) });
  EXPECT_EQ(outcome.verdict, Verdict::Done);
  EXPECT_EQ(outcome.reason, "answer_lost");
}

// Guards against a request that runs although its caller was told that it did
// not: one dispatcher that did not bar it is enough to run it.
RC_GTEST_PROP(BarDecision, NotRunNeedsTheProofOfEveryDispatcher, ())
{
  const auto numbers =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
  std::vector<DispatcherBarReply> answers;
  std::ranges::transform(numbers, std::back_inserter(answers), sample);
  const bool isProved = std::ranges::all_of(
    numbers, [](int number) { return number == 1 || number == 4; });
  RC_ASSERT((outcomeFromBarReplies(answers).verdict == Verdict::NotRun) ==
            isProved);
}

} // namespace lentilrack::core
