#include "core/bar_decision.h"

#include <algorithm>

namespace lentilrack::core {

namespace {

bool
isFinishedAs(const DispatcherBarReply& reply, Verdict verdict)
{
  return reply.state == DispatcherBarReply::State::Finished &&
         reply.outcome.verdict == verdict;
}

} // namespace

Outcome
outcomeFromBarReplies(const std::vector<DispatcherBarReply>& replies)
{
  for (const auto verdict : { Verdict::Done, Verdict::Unknown }) {
    const auto found =
      std::find_if(replies.begin(), replies.end(), [&](const auto& reply) {
        return isFinishedAs(reply, verdict);
      });
    if (found != replies.end()) {
      auto outcome = found->outcome;
      if (verdict == Verdict::Done) {
        // The request ran, but its dispatcher sent the answer only to the home
        // of the request, and that process is lost.
        outcome.reason = "answer_lost";
      }
      return outcome;
    }
  }
  Outcome outcome;
  const bool isProved =
    std::all_of(replies.begin(), replies.end(), [](const auto& reply) {
      return reply.state == DispatcherBarReply::State::Barred ||
             isFinishedAs(reply, Verdict::NotRun);
    });
  outcome.verdict = isProved ? Verdict::NotRun : Verdict::Unknown;
  outcome.reason = "home_lost";
  return outcome;
}

} // namespace lentilrack::core
