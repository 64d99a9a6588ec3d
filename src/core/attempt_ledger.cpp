#include "core/attempt_ledger.h"

namespace lentilrack::core {

namespace {

Outcome
refusal(Verdict verdict, std::string reason)
{
  Outcome outcome;
  outcome.verdict = verdict;
  outcome.reason = std::move(reason);
  return outcome;
}

/// Ranks the verdicts of a request's attempts. Done comes first, since the
/// request has run whatever the other verdicts; Unknown comes before NotRun,
/// since the request may have run although one attempt provably has not.
int
rank(Verdict verdict)
{
  switch (verdict) {
    case Verdict::Done:
      return 2;
    case Verdict::Unknown:
      return 1;
    case Verdict::NotRun:
      return 0;
  }
  return 1;
}

} // namespace

AttemptLedger::AttemptLedger(AttemptLedgerLimits limits)
  : mLimits(limits)
{
}

AttemptState
AttemptLedger::stateOf(const Record& record)
{
  if (record.barred) {
    return AttemptState::Barred;
  }
  // An idempotent request may have one attempt finished and another running. It
  // counts as finished, so this check comes before the one for started
  // attempts.
  if (mayHaveRun(record)) {
    return AttemptState::Finished;
  }
  if (!record.started.empty()) {
    return AttemptState::Started;
  }
  return record.queued.empty() ? AttemptState::Finished : AttemptState::Queued;
}

bool
AttemptLedger::mayHaveRun(const Record& record)
{
  return record.outcome && record.outcome->verdict != Verdict::NotRun;
}

bool
AttemptLedger::makeRoom(TimePoint now)
{
  if (mRecords.size() >= mLimits.maxRecords) {
    expire(now);
  }
  return mRecords.size() < mLimits.maxRecords;
}

std::optional<Outcome>
AttemptLedger::submit(const AttemptId& attempt, bool idempotent, TimePoint now)
{
  const auto found = mRecords.find(attempt.request);
  if (found == mRecords.end()) {
    if (!makeRoom(now)) {
      return refusal(Verdict::NotRun, "ledger_full");
    }
    Record record;
    record.idempotent = idempotent;
    record.highestNumber = attempt.number;
    record.queued.insert(attempt.number);
    mRecords.emplace(attempt.request, std::move(record));
    return std::nullopt;
  }
  auto& record = found->second;
  if (record.barred) {
    return refusal(Verdict::NotRun, "barred");
  }
  const bool isRepeatable = idempotent && record.idempotent;
  const bool isActive = !record.queued.empty() || !record.started.empty();
  if (!isRepeatable && isActive) {
    // The other attempt is queued or running and may still be executed, so
    // NotRun must not be reported for the request.
    return refusal(Verdict::Unknown, "duplicate_attempt");
  }
  if (!isRepeatable && mayHaveRun(record)) {
    auto outcome = *record.outcome;
    if (outcome.verdict == Verdict::Done) {
      outcome.reason = "answer_lost";
    }
    return outcome;
  }
  if (attempt.number <= record.highestNumber && !isRepeatable) {
    return refusal(Verdict::NotRun, "old_attempt");
  }
  if (record.queued.contains(attempt.number) ||
      record.started.contains(attempt.number)) {
    return refusal(Verdict::Unknown, "duplicate_attempt");
  }
  record.highestNumber = std::max(record.highestNumber, attempt.number);
  record.queued.insert(attempt.number);
  return std::nullopt;
}

bool
AttemptLedger::start(const AttemptId& attempt)
{
  const auto found = mRecords.find(attempt.request);
  if (found == mRecords.end() || found->second.barred ||
      found->second.queued.erase(attempt.number) == 0) {
    return false;
  }
  found->second.started.insert(attempt.number);
  return true;
}

void
AttemptLedger::requeue(const AttemptId& attempt)
{
  const auto found = mRecords.find(attempt.request);
  if (found != mRecords.end() &&
      found->second.started.erase(attempt.number) > 0) {
    found->second.queued.insert(attempt.number);
  }
}

void
AttemptLedger::withdraw(const AttemptId& attempt,
                        const Outcome& refusal,
                        TimePoint now)
{
  const auto found = mRecords.find(attempt.request);
  if (found == mRecords.end()) {
    return;
  }
  const auto& record = found->second;
  const bool isOnlyAttempt = record.queued.size() == 1 &&
                             record.started.empty() && !record.barred &&
                             !record.outcome;
  if (isOnlyAttempt && record.queued.contains(attempt.number)) {
    mRecords.erase(found);
  } else {
    finish(attempt, refusal, now);
  }
}

void
AttemptLedger::finish(const AttemptId& attempt,
                      const Outcome& outcome,
                      TimePoint now)
{
  const auto found = mRecords.find(attempt.request);
  if (found == mRecords.end()) {
    return;
  }
  auto& record = found->second;
  const bool isPending = record.queued.erase(attempt.number) > 0 ||
                         record.started.erase(attempt.number) > 0;
  if (!isPending || record.barred) {
    return;
  }
  if (!record.outcome ||
      rank(outcome.verdict) >= rank(record.outcome->verdict)) {
    record.outcome = outcome;
  }
  restartRetention(attempt.request, record, now);
}

std::optional<BarResult>
AttemptLedger::bar(const std::string& request, TimePoint now)
{
  auto found = mRecords.find(request);
  if (found == mRecords.end()) {
    if (!makeRoom(now)) {
      return std::nullopt;
    }
    found = mRecords.emplace(request, Record{}).first;
  }
  auto& record = found->second;
  BarResult result;
  if (!record.barred) {
    if (mayHaveRun(record)) {
      return BarResult{ AttemptState::Finished, record.outcome, {} };
    }
    if (!record.started.empty()) {
      return BarResult{ AttemptState::Started, std::nullopt, {} };
    }
    record.barred = true;
  }
  for (const auto number : record.queued) {
    result.removed.push_back({ request, number });
  }
  record.queued.clear();
  restartRetention(request, record, now);
  return result;
}

void
AttemptLedger::restartRetention(const std::string& request,
                                Record& record,
                                TimePoint now)
{
  record.lastChange = now;
  mChanges.emplace_back(now, request);
}

void
AttemptLedger::expire(TimePoint now)
{
  while (!mChanges.empty() &&
         now - mChanges.front().first >= mLimits.retention) {
    const auto [lastChange, request] = mChanges.front();
    mChanges.pop_front();
    const auto found = mRecords.find(request);
    if (found != mRecords.end() && found->second.lastChange == lastChange &&
        found->second.queued.empty() && found->second.started.empty()) {
      mRecords.erase(found);
    }
  }
}

std::optional<AttemptState>
AttemptLedger::state(const std::string& request) const
{
  const auto found = mRecords.find(request);
  if (found == mRecords.end()) {
    return std::nullopt;
  }
  return stateOf(found->second);
}

} // namespace lentilrack::core
