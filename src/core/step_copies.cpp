// The part of Step that runs copies: start, tokens, end and score.
#include "core/step.h"
#include "core/version_tracker.h"

#include <algorithm>

namespace lentilrack::core {

SlotView
Step::viewOfGroup(std::int64_t index) const
{
  const auto& group = mGroups[static_cast<std::size_t>(index)];
  SlotView result;
  result.slot.group = index;
  result.quorum = mSpec.quorum;
  for (const auto& slot : group.slots) {
    result.groupReady += slot.hasSample() ? 1 : 0;
    result.groupRunning += static_cast<std::int64_t>(slot.copies.size());
  }
  result.estimate = mPolicy.estimate({ group.lengthCount,
                                       group.lengthSum,
                                       mLengthCount,
                                       mLengthSum,
                                       mSpec.maxTokens });
  return result;
}

std::optional<CopyStart>
Step::startNext(TimePoint now, std::int64_t idleSlots)
{
  dropStale(false);
  std::optional<SlotView> best;
  bool waiting = false;
  for (std::size_t g = 0; g < mGroups.size(); ++g) {
    const auto& group = mGroups[g];
    auto candidate = viewOfGroup(static_cast<std::int64_t>(g));
    if (candidate.groupReady >= mSpec.quorum) {
      continue;
    }
    for (std::size_t i = 0; i < group.slots.size(); ++i) {
      const auto& state = group.slots[i];
      if (state.hasSample() || !state.copies.empty()) {
        continue;
      }
      if (state.earliestStart > now) {
        waiting = true;
        continue;
      }
      candidate.slot.index = static_cast<std::int64_t>(i);
      if (!best || mPolicy.startsBefore(candidate, *best)) {
        best = candidate;
      }
    }
  }
  if (best) {
    return startCopy(best->slot, now, false);
  }
  return waiting ? std::nullopt : startExtraCopy(now, idleSlots);
}

std::optional<CopyStart>
Step::startExtraCopy(TimePoint now, std::int64_t idleSlots)
{
  std::vector<SlotView> views;
  for (const auto& [id, slot] : mCopies) {
    const auto& copies = at(slot).copies;
    const bool first = copies.front().id == id;
    const bool isAwaitingScore =
      std::ranges::any_of(copies, &Copy::isAwaitingScore);
    if (first && !isAwaitingScore) {
      auto view = viewOfGroup(slot.group);
      view.slot = slot;
      view.running = static_cast<std::int64_t>(copies.size());
      view.runningFor =
        std::chrono::duration_cast<Millis>(now - copies.front().startedAt);
      views.push_back(view);
    }
  }
  const ExtraCopyBudget budget{ static_cast<std::int64_t>(mGroups.size()) *
                                  mSpec.groupSize,
                                mCounters.extraCopies,
                                idleSlots };
  const auto chosen = mPolicy.extraCopy(views, budget);
  if (!chosen) {
    return std::nullopt;
  }
  ++mCounters.extraCopies;
  return startCopy(*chosen, now, true);
}

CopyStart
Step::startCopy(Slot slot, TimePoint now, bool extra)
{
  auto& state = at(slot);
  Copy copy;
  copy.id = ++mLastCopyId;
  copy.extra = extra;
  copy.startedAt = now;
  CopyStart result{ copy.id, slot, 0, std::nullopt, extra };
  if (state.partial && !extra) {
    const auto& partial = *state.partial;
    const auto choice = mPolicy.resume({ *oldestVersion(partial.segments),
                                         partial.segments.back().version,
                                         mNewestVersion,
                                         mStalenessBound,
                                         partial.failures });
    if (choice == ResumeChoice::Restart) {
      state.partial.reset();
    } else {
      copy.offset = partial.tokens;
      copy.text = partial.text;
      copy.tokens = partial.tokens;
      copy.segments = partial.segments;
      result.offset = partial.tokens;
      if (choice == ResumeChoice::SameVersion) {
        result.version = partial.segments.back().version;
      }
      ++mCounters.resumed;
    }
  }
  mCopies[copy.id] = slot;
  state.copies.push_back(std::move(copy));
  ++mRunning;
  return result;
}

std::optional<TimePoint>
Step::nextStartTime() const
{
  std::optional<TimePoint> earliest;
  for (const auto& group : mGroups) {
    if (isGroupComplete(group)) {
      continue;
    }
    for (const auto& slot : group.slots) {
      if (slot.hasSample() || !slot.copies.empty()) {
        continue;
      }
      if (!earliest || slot.earliestStart < *earliest) {
        earliest = slot.earliestStart;
      }
    }
  }
  return earliest;
}

bool
Step::addChunk(CopyId id, const Chunk& chunk)
{
  auto* copy = findCopy(id);
  if (copy == nullptr || copy->isAwaitingScore) {
    return false;
  }
  copy->text += chunk.text;
  if (chunk.tokens > 0) {
    copy->tokens += chunk.tokens;
    if (chunk.version) {
      observeVersion(*chunk.version);
      appendSegment(copy->segments, *chunk.version, chunk.tokens);
    } else {
      copy->unknownVersion = true;
    }
  }
  return copy->segments.empty() || isFresh(copy->segments);
}

CopyOutcome
Step::finish(CopyId id, const Outcome& outcome, TimePoint now, double random)
{
  auto* copy = findCopy(id);
  if (copy == nullptr || copy->isAwaitingScore) {
    ++mCounters.unwanted;
    return CopyOutcome::Discarded;
  }
  auto& slot = at(mCopies.at(id));
  const bool areVersionsKnown = !copy->unknownVersion &&
                                !copy->segments.empty() &&
                                coversTokens(copy->segments, copy->tokens);
  if (outcome.verdict != Verdict::Done) {
    ++mCounters.failed;
    auto interrupted = removeCopy(id);
    if (areVersionsKnown && isFresh(interrupted.segments)) {
      storePartial(slot, std::move(interrupted));
    } else if (!interrupted.segments.empty()) {
      slot.partial.reset();
    }
    scheduleRetry(slot, now, random);
    return CopyOutcome::Retry;
  }
  const bool isWhole = copy->tokens == outcome.totalTokens;
  if (isWhole && areVersionsKnown && isFresh(copy->segments)) {
    copy->isAwaitingScore = true;
    --mRunning;
    return CopyOutcome::NeedsScore;
  }
  if (!isWhole) {
    ++mCounters.wrongLength;
  } else if (!areVersionsKnown) {
    ++mCounters.unknownVersion;
  } else {
    ++mCounters.stale;
  }
  removeCopy(id);
  slot.partial.reset();
  scheduleRetry(slot, now, random);
  return CopyOutcome::Retry;
}

void
Step::storePartial(SlotState& slot, Copy&& copy)
{
  const bool hasNewTokens = copy.tokens > copy.offset;
  if (!hasNewTokens) {
    if (slot.partial) {
      ++slot.partial->failures;
    }
    return;
  }
  slot.failures = 0;
  if (!slot.partial || slot.partial->tokens < copy.tokens) {
    slot.partial =
      Partial{ std::move(copy.text), copy.tokens, std::move(copy.segments), 0 };
  }
}

void
Step::scheduleRetry(SlotState& slot, TimePoint now, double random)
{
  ++slot.failures;
  slot.earliestStart = now + mPolicy.backoff(slot.failures, random);
}

Step::Copy
Step::removeCopy(CopyId id)
{
  auto& copies = at(mCopies.at(id)).copies;
  const auto found = std::ranges::find(copies, id, &Copy::id);
  Copy copy = std::move(*found);
  copies.erase(found);
  mCopies.erase(id);
  mRunning -= copy.isAwaitingScore ? 0 : 1;
  return copy;
}

const std::string*
Step::answerText(CopyId id) const
{
  const auto* copy = findCopy(id);
  return copy != nullptr && copy->isAwaitingScore ? &copy->text : nullptr;
}

bool
Step::recordScore(CopyId id, double score)
{
  const auto* found = findCopy(id);
  if (found == nullptr || !found->isAwaitingScore) {
    ++mCounters.unwanted;
    return false;
  }
  const auto slot = mCopies.at(id);
  auto& state = at(slot);
  Copy copy = removeCopy(id);
  if (!isFresh(copy.segments)) {
    ++mCounters.stale;
    return false;
  }
  auto& group = mGroups[static_cast<std::size_t>(slot.group)];
  ++group.lengthCount;
  group.lengthSum += static_cast<double>(copy.tokens);
  ++mLengthCount;
  mLengthSum += static_cast<double>(copy.tokens);
  state.sample = Sample{
    slot, std::move(copy.text), copy.tokens, score, std::move(copy.segments)
  };
  state.partial.reset();
  state.failures = 0;
  cancelCopies(state);
  cancelGroupIfComplete(slot.group);
  return true;
}

void
Step::cancelCopies(SlotState& slot)
{
  for (const auto& copy : slot.copies) {
    mCopies.erase(copy.id);
    mCancelled.push_back(copy.id);
    mRunning -= copy.isAwaitingScore ? 0 : 1;
  }
  slot.copies.clear();
}

void
Step::cancelGroupIfComplete(std::int64_t group)
{
  auto& state = mGroups[static_cast<std::size_t>(group)];
  if (!isGroupComplete(state)) {
    return;
  }
  for (auto& slot : state.slots) {
    cancelCopies(slot);
  }
}

std::vector<CopyId>
Step::takeCancelled()
{
  return std::exchange(mCancelled, {});
}

} // namespace lentilrack::core
