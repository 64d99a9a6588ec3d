#include "core/step.h"

#include "core/version_tracker.h"

#include <algorithm>
#include <ranges>

namespace lentilrack::core {

namespace {

StepError
badInput(std::string message)
{
  return { StepErrorCode::BadInput, std::move(message) };
}

std::string
slotText(Slot slot)
{
  return "group " + std::to_string(slot.group) + ", index " +
         std::to_string(slot.index);
}

} // namespace

Step::Step(StepSpec spec,
           std::int64_t opening,
           StepPolicy policy,
           Limits limits)
  : mSpec(std::move(spec))
  , mOpening(opening)
  , mPolicy(std::move(policy))
  , mLimits(limits)
  , mGroups(mSpec.prompts.size())
{
  for (auto& group : mGroups) {
    group.slots.resize(static_cast<std::size_t>(mSpec.groupSize));
  }
}

std::optional<StepError>
Step::validateSpec(const StepSpec& spec,
                   std::int64_t opening,
                   const Limits& limits)
{
  if (spec.name.empty()) {
    return badInput("the step has no name");
  }
  if (opening < 1) {
    return badInput("the opening number must be at least 1");
  }
  if (spec.prompts.empty()) {
    return badInput("the step has no prompts");
  }
  const auto groups = static_cast<std::int64_t>(spec.prompts.size());
  if (spec.groupSize < 1 || spec.groupSize > limits.maxSlots / groups) {
    return badInput("the group size must be at least 1 and the step must have "
                    "at most " +
                    std::to_string(limits.maxSlots) + " samples");
  }
  if (spec.quorum < 1 || spec.quorum > spec.groupSize) {
    return badInput("the quorum must be between 1 and the group size " +
                    std::to_string(spec.groupSize) + ", not " +
                    std::to_string(spec.quorum));
  }
  if (spec.maxTokens < 1) {
    return badInput("max_tokens must be at least 1");
  }
  return std::nullopt;
}

Result<Step, StepError>
Step::open(StepSpec spec,
           std::int64_t opening,
           const std::vector<Slot>& received,
           StepPolicy policy,
           Limits limits)
{
  if (auto error = validateSpec(spec, opening, limits)) {
    return std::move(*error);
  }
  Step step(std::move(spec), opening, std::move(policy), limits);
  if (auto error = step.validateSlots(received)) {
    return std::move(*error);
  }
  step.applyReceived(received);
  return step;
}

Result<void, StepError>
Step::reopen(const StepSpec& spec,
             std::int64_t opening,
             const std::vector<Slot>& received)
{
  if (opening < mOpening) {
    return StepError{ StepErrorCode::OldOpening,
                      "the opening number is lower than the current one, " +
                        std::to_string(mOpening) };
  }
  if (spec != mSpec) {
    return StepError{ StepErrorCode::DifferentStep,
                      "the step is open with other prompts or sizes; close it "
                      "or use another name" };
  }
  if (opening == mOpening) {
    return acknowledge(opening, received);
  }
  if (auto error = validateSlots(received)) {
    return std::move(*error);
  }
  mOpening = opening;
  for (auto& group : mGroups) {
    for (auto& slot : group.slots) {
      slot.acknowledged = false;
      slot.handedOver = false;
    }
  }
  applyReceived(received);
  return outcome::success();
}

Result<void, StepError>
Step::setStalenessBound(std::int64_t versions)
{
  if (versions < 0) {
    return badInput("the staleness bound must not be negative");
  }
  mStalenessBound = versions;
  return outcome::success();
}

void
Step::observeVersion(std::int64_t version)
{
  mNewestVersion = std::max(mNewestVersion, version);
}

std::optional<StepError>
Step::validateSlots(const std::vector<Slot>& received) const
{
  const auto groups = static_cast<std::int64_t>(mGroups.size());
  for (const auto slot : received) {
    const bool exists = slot.group >= 0 && slot.group < groups &&
                        slot.index >= 0 && slot.index < mSpec.groupSize;
    if (!exists) {
      return badInput("the step has no slot " + slotText(slot));
    }
  }
  return std::nullopt;
}

std::optional<StepError>
Step::validateMessage(std::int64_t opening,
                      const std::vector<Slot>& received) const
{
  if (opening < mOpening) {
    return StepError{ StepErrorCode::OldOpening,
                      "the step has been opened again with opening " +
                        std::to_string(mOpening) };
  }
  if (opening > mOpening) {
    return StepError{ StepErrorCode::UnknownOpening,
                      "the message names an opening later than " +
                        std::to_string(mOpening) +
                        ", the newest that this instance has received" };
  }
  if (auto error = validateSlots(received)) {
    return error;
  }
  for (const auto slot : received) {
    const auto& state = at(slot);
    if (!state.acknowledged && !state.handedOver) {
      return StepError{ StepErrorCode::NeverSent,
                        "no sample was handed over in this opening for " +
                          slotText(slot) };
    }
  }
  return std::nullopt;
}

void
Step::applyReceived(const std::vector<Slot>& received)
{
  for (const auto slot : received) {
    auto& state = at(slot);
    state.acknowledged = true;
    state.sample.reset();
    state.partial.reset();
    cancelCopies(state);
    cancelGroupIfComplete(slot.group);
  }
}

Step::SlotState&
Step::at(Slot slot)
{
  return mGroups[static_cast<std::size_t>(slot.group)]
    .slots[static_cast<std::size_t>(slot.index)];
}

const Step::SlotState&
Step::at(Slot slot) const
{
  return mGroups[static_cast<std::size_t>(slot.group)]
    .slots[static_cast<std::size_t>(slot.index)];
}

const Step::Copy*
Step::findCopy(CopyId id) const
{
  const auto slot = mCopies.find(id);
  if (slot == mCopies.end()) {
    return nullptr;
  }
  const auto& copies = at(slot->second).copies;
  const auto found = std::ranges::find(copies, id, &Copy::id);
  return found == copies.end() ? nullptr : &*found;
}

Step::Copy*
Step::findCopy(CopyId id)
{
  return const_cast<Copy*>(std::as_const(*this).findCopy(id));
}

bool
Step::isGroupComplete(const Group& group) const
{
  return std::ranges::count_if(group.slots, &SlotState::hasSample) >=
         mSpec.quorum;
}

bool
Step::isComplete() const
{
  return std::ranges::all_of(
    mGroups, [this](const Group& group) { return isGroupComplete(group); });
}

bool
Step::isFresh(const std::vector<Segment>& segments) const
{
  const auto age = sampleAge(segments, mNewestVersion);
  return age.has_value() && *age <= mStalenessBound;
}

std::int64_t
Step::inFlight() const
{
  return static_cast<std::int64_t>(mCopies.size());
}

std::int64_t
Step::unacknowledged() const
{
  std::int64_t count = 0;
  for (const auto& group : mGroups) {
    count += std::ranges::count_if(group.slots, [](const SlotState& slot) {
      return slot.sample.has_value();
    });
  }
  return count;
}

// The functions below hand over samples to the trainer or record which samples
// it has received.

Result<PulledSamples, StepError>
Step::pull(std::int64_t opening,
           const std::vector<Slot>& received,
           std::int64_t version)
{
  if (version < 0) {
    return badInput("the version must not be negative");
  }
  if (auto error = validateMessage(opening, received)) {
    return std::move(*error);
  }
  observeVersion(version);
  applyReceived(received);
  dropStale(true);
  PulledSamples result;
  result.complete = true;
  std::size_t bytes = 0;
  for (auto& group : mGroups) {
    if (!isGroupComplete(group) || bytes >= mLimits.maxPullBytes) {
      result.complete = false;
      continue;
    }
    for (auto& slot : group.slots) {
      if (slot.sample) {
        slot.handedOver = true;
        bytes += slot.sample->text.size();
        result.samples.push_back(*slot.sample);
      }
    }
  }
  mCounters.handedOver += static_cast<std::int64_t>(result.samples.size());
  return result;
}

Result<void, StepError>
Step::acknowledge(std::int64_t opening, const std::vector<Slot>& received)
{
  if (auto error = validateMessage(opening, received)) {
    return std::move(*error);
  }
  applyReceived(received);
  return outcome::success();
}

bool
Step::isReadyForPull()
{
  dropStale(false);
  bool hasSamples = false;
  bool allComplete = true;
  for (const auto& group : mGroups) {
    if (!isGroupComplete(group)) {
      allComplete = false;
      continue;
    }
    hasSamples =
      hasSamples || std::ranges::any_of(group.slots, [](const auto& slot) {
        return slot.sample.has_value();
      });
  }
  return hasSamples || allComplete;
}

void
Step::dropStale(bool handedOverToo)
{
  for (auto& group : mGroups) {
    for (auto& slot : group.slots) {
      const bool mayDrop = handedOverToo || !slot.handedOver;
      if (mayDrop && slot.sample && !isFresh(slot.sample->segments)) {
        slot.sample.reset();
        // The trainer does not have this sample: its pull did not list the
        // sample, or the sample was never handed over. The slot can therefore
        // be filled again.
        slot.handedOver = false;
        ++mCounters.stale;
      }
      dropStaleAnswers(slot);
    }
  }
}

void
Step::dropStaleAnswers(SlotState& slot)
{
  std::erase_if(slot.copies, [this](const Copy& copy) {
    const bool isStale = copy.isAwaitingScore && !isFresh(copy.segments);
    if (isStale) {
      mCopies.erase(copy.id);
      mCancelled.push_back(copy.id);
      ++mCounters.stale;
    }
    return isStale;
  });
}

} // namespace lentilrack::core
