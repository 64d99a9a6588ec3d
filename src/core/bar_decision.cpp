#include "core/bar_decision.h"

#include <algorithm>

namespace lentilrack::core {

namespace {

bool
isFinishedAs(const DispatcherBarReply& answer, Verdict verdict)
{
  return answer.state == DispatcherBarReply::State::Finished &&
         answer.outcome.verdict == verdict;
}

} // namespace

Outcome
outcomeFromBarReplies(const std::vector<DispatcherBarReply>& answers)
{
  for (const auto verdict : { Verdict::Done, Verdict::Unknown }) {
    const auto found =
      std::find_if(answers.begin(), answers.end(), [&](const auto& answer) {
        return isFinishedAs(answer, verdict);
      });
    if (found != answers.end()) {
      auto outcome = found->outcome;
      if (verdict == Verdict::Done) {
        // The tokens went to the lost home.
        outcome.reason = "answer_lost";
      }
      return outcome;
    }
  }
  Outcome outcome;
  const bool isProved =
    std::all_of(answers.begin(), answers.end(), [](const auto& answer) {
      return answer.state == DispatcherBarReply::State::Barred ||
             isFinishedAs(answer, Verdict::NotRun);
    });
  outcome.verdict = isProved ? Verdict::NotRun : Verdict::Unknown;
  outcome.reason = "home_lost";
  return outcome;
}

} // namespace lentilrack::core
