#include "core/hedging/hedge_controller.h"

namespace lentilrack::core {

void
HedgeController::setLimit(double share)
{
  mLimit = share;
  for (auto& [name, service] : mServices) {
    service.budget.setLimit(share);
  }
}

HedgeController::Service&
HedgeController::serviceNamed(const std::string& name)
{
  const auto [found, isNew] = mServices.try_emplace(name);
  if (isNew) {
    found->second.budget.setLimit(mLimit);
  }
  return found->second;
}

std::optional<HedgePlan>
HedgeController::plan(const HedgePolicy::Subject& subject, TimePoint now) const
{
  return mPolicy.plan(subject, mLimit, now);
}

HedgeController::Decision
HedgeController::decide(const Question& question,
                        const std::vector<const RegisteredServer*>& servers,
                        TimePoint now)
{
  auto& service = serviceNamed(question.service);
  Decision decision;
  if (!service.load.allowsHedging(now)) {
    decision.verdict = HedgeVerdict::ServiceBusy;
    return decision;
  }
  const auto* server =
    chooseHedgeTarget(servers, question.target, now, question.serverRandom);
  if (server == nullptr) {
    return decision;
  }
  const auto reservation = service.budget.tryReserve(
    question.plan.expectedWork, question.budgetRandom, now);
  if (!reservation) {
    decision.verdict = HedgeVerdict::OverLimit;
    return decision;
  }
  decision.verdict = HedgeVerdict::Allowed;
  decision.server = server;
  decision.hedge = { *reservation, question.plan };
  return decision;
}

void
HedgeController::recordAttempt(const HedgePolicy::Subject& subject,
                               const Attempt& attempt,
                               TimePoint now)
{
  auto& service = serviceNamed(subject.service);
  const bool isRefused = attempt.end == AttemptEnd::Refused;
  const bool hasRun = !isRefused && attempt.end != AttemptEnd::NotExecuted;
  service.load.recordAttempt(isRefused, attempt.slots, now);
  if (attempt.hedge) {
    service.budget.settle(attempt.hedge->reservation,
                          hasRun ? attempt.took : PreciseMillis(0));
    if (hasRun) {
      mPolicy.recordHedge(
        subject, attempt.hedge->plan, attempt.took, attempt.hasWon, now);
    }
  }
  if (attempt.hasWon) {
    service.budget.earn(attempt.took, now);
  }
  if (attempt.end == AttemptEnd::Answered) {
    mPolicy.recordCompletion(subject, attempt.took, now);
  } else if (attempt.end == AttemptEnd::GivenUp) {
    mPolicy.recordCancellation(subject, attempt.took, now);
  }
}

} // namespace lentilrack::core
