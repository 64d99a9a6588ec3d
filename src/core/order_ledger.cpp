#include "core/order_ledger.h"

#include <sodium.h>

#include <numeric>

namespace lentilrack::core {

namespace {

std::size_t
answerSize(const std::vector<Chunk>& answer)
{
  return std::accumulate(answer.begin(),
                         answer.end(),
                         std::size_t{ 0 },
                         [](std::size_t sum, const Chunk& chunk) {
                           return sum + chunk.text.size() + sizeof(Chunk);
                         });
}

/// Merges consecutive chunks of the same weight version, which saves memory.
std::vector<Chunk>
mergeChunks(std::vector<Chunk> chunks)
{
  std::vector<Chunk> result;
  for (auto& chunk : chunks) {
    if (!result.empty() && result.back().version == chunk.version) {
      result.back().text += chunk.text;
      result.back().tokens += chunk.tokens;
    } else {
      result.push_back(std::move(chunk));
    }
  }
  return result;
}

OrderLedger::State
stateOf(Verdict verdict)
{
  switch (verdict) {
    case Verdict::Done:
      return OrderLedger::State::Done;
    case Verdict::NotRun:
      return OrderLedger::State::NotRun;
    case Verdict::Unknown:
      break;
  }
  return OrderLedger::State::Unknown;
}

} // namespace

Digest
digestOf(std::string_view bytes)
{
  Digest digest{};
  crypto_generichash(digest.data(),
                     digest.size(),
                     reinterpret_cast<const unsigned char*>(bytes.data()),
                     bytes.size(),
                     nullptr,
                     0);
  return digest;
}

OrderLedger::OrderLedger(OrderLedgerLimits limits)
  : mLimits(limits)
{
}

OrderLedger::AdmitResult
OrderLedger::admit(const std::string& id,
                   const Digest& body,
                   TimePoint keepUntil,
                   TimePoint now)
{
  expire(now);
  const auto key = digestOf(id);
  const auto found = mRecords.find(key);
  if (found != mRecords.end()) {
    if (found->second.body != body) {
      return AdmitResult::BodyMismatch;
    }
    return found->second.state == State::InFlight ? AdmitResult::Joined
                                                  : AdmitResult::Recorded;
  }
  if (mRecords.size() >= mLimits.maxOrders) {
    return AdmitResult::Full;
  }
  Record record;
  record.body = body;
  record.keepUntil = keepUntil;
  mRecords.emplace(key, std::move(record));
  mByKeepUntil.emplace(keepUntil, key);
  ++mInFlight;
  return AdmitResult::New;
}

const OrderLedger::Record*
OrderLedger::find(const std::string& id) const
{
  const auto found = mRecords.find(digestOf(id));
  return found == mRecords.end() ? nullptr : &found->second;
}

std::optional<std::uint32_t>
OrderLedger::beginAttempt(const std::string& id)
{
  const auto found = mRecords.find(digestOf(id));
  if (found == mRecords.end() || found->second.state != State::InFlight ||
      found->second.isAttemptOutstanding) {
    return std::nullopt;
  }
  found->second.isAttemptOutstanding = true;
  return ++found->second.attempts;
}

void
OrderLedger::recordAttemptNotRun(const std::string& id)
{
  const auto found = mRecords.find(digestOf(id));
  if (found != mRecords.end()) {
    found->second.isAttemptOutstanding = false;
  }
}

Outcome
OrderLedger::finish(const std::string& id,
                    Outcome outcome,
                    std::vector<Chunk> answer)
{
  const auto key = digestOf(id);
  const auto found = mRecords.find(key);
  if (found == mRecords.end()) {
    // Without a record, this process does not know whether the order ran, so it
    // must report Unknown.
    outcome.verdict = Verdict::Unknown;
    outcome.reason = "not_recorded";
    return outcome;
  }
  auto& record = found->second;
  if (record.state != State::InFlight) {
    return record.outcome;
  }
  if (outcome.verdict == Verdict::NotRun && record.isAttemptOutstanding) {
    outcome.verdict = Verdict::Unknown;
  }
  record.state = stateOf(outcome.verdict);
  record.outcome = outcome;
  record.isAttemptOutstanding = false;
  --mInFlight;
  if (record.state == State::Done) {
    storeAnswer(key, record, mergeChunks(std::move(answer)));
  }
  return outcome;
}

void
OrderLedger::storeAnswer(const Digest& key,
                         Record& record,
                         std::vector<Chunk> answer)
{
  const auto bytes = answerSize(answer);
  if (bytes > mLimits.answerBytes || bytes > mLimits.totalAnswerBytes) {
    record.outcome.reason = "answer_lost";
    return;
  }
  record.answer = std::move(answer);
  mAnswerBytes += bytes;
  mAnswerKeys.push_back(key);
  while (mAnswerBytes > mLimits.totalAnswerBytes) {
    const auto oldest = mRecords.find(mAnswerKeys.front());
    mAnswerKeys.pop_front();
    if (oldest != mRecords.end()) {
      dropAnswer(oldest->second);
    }
  }
}

void
OrderLedger::dropAnswer(Record& record)
{
  mAnswerBytes -= answerSize(record.answer);
  record.answer.clear();
  record.answer.shrink_to_fit();
  record.outcome.reason = "answer_lost";
}

void
OrderLedger::removeInFlight(const std::string& id)
{
  const auto key = digestOf(id);
  const auto found = mRecords.find(key);
  if (found != mRecords.end() && found->second.state == State::InFlight) {
    mByKeepUntil.erase({ found->second.keepUntil, key });
    mRecords.erase(found);
    --mInFlight;
  }
}

void
OrderLedger::expire(TimePoint now)
{
  auto next = mByKeepUntil.begin();
  while (next != mByKeepUntil.end() && next->first < now) {
    const auto found = mRecords.find(next->second);
    if (found->second.state == State::InFlight) {
      ++next;
      continue;
    }
    mAnswerBytes -= answerSize(found->second.answer);
    mRecords.erase(found);
    next = mByKeepUntil.erase(next);
  }
  while (!mAnswerKeys.empty() && !mRecords.contains(mAnswerKeys.front())) {
    mAnswerKeys.pop_front();
  }
}

} // namespace lentilrack::core
