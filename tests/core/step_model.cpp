#include "core/step_model.h"

#include <algorithm>
#include <sstream>

namespace lentilrack::core {

namespace {

std::string
tokenText(std::int64_t version, std::int64_t count)
{
  std::string text;
  for (std::int64_t i = 0; i < count; ++i) {
    text += std::to_string(version) + ";";
  }
  return text;
}

std::vector<Segment>
segmentsOfText(const std::string& text)
{
  std::vector<Segment> segments;
  std::istringstream stream(text);
  std::string token;
  while (std::getline(stream, token, ';')) {
    appendSegment(segments, std::stoll(token), 1);
  }
  return segments;
}

template<typename Container>
std::size_t
indexFor(const Container& container, std::uint8_t arg)
{
  return arg % container.size();
}

} // namespace

StepModel::StepModel(StepSpec spec, std::int64_t bound, ModelDefects defects)
  : mSpec(std::move(spec))
  , mStalenessBound(bound)
  , mDefects(defects)
{
  openAt(0);
}

void
StepModel::recordViolation(std::string what)
{
  if (mViolation.empty()) {
    mViolation = std::move(what);
  }
}

std::vector<Slot>
StepModel::receivedSlots() const
{
  std::vector<Slot> slots;
  std::ranges::transform(mReceived,
                         std::back_inserter(slots),
                         [](const auto& e) { return e.first; });
  return slots;
}

bool
StepModel::isComplete() const
{
  std::map<std::int64_t, std::int64_t> counts;
  for (const auto& [slot, sample] : mReceived) {
    ++counts[slot.group];
  }
  return counts.size() == mSpec.prompts.size() &&
         std::ranges::all_of(counts, [this](const auto& entry) {
           return entry.second >= mSpec.quorum;
         });
}

void
StepModel::openAt(std::size_t home)
{
  mCurrentHome = home;
  ++mOpening;
  ++mPullNumber;
  auto& target = mHomes[home];
  if (target.step) {
    if (!target.step->reopen(mSpec, mOpening, receivedSlots())) {
      recordViolation("a reopening with the same prompts was refused");
    }
    return;
  }
  target = Home();
  target.step.emplace(Step::open(mSpec, mOpening, receivedSlots()).value());
  const auto bound = mDefects.ignoreBound ? 1'000'000 : mStalenessBound;
  if (!target.step->setStalenessBound(bound)) {
    recordViolation("the staleness bound was refused");
  }
}

void
StepModel::startCopy(Home& home, std::uint8_t arg, std::int64_t idle)
{
  const auto start = home.step->startNext(mNow, idle);
  if (!start) {
    return;
  }
  RunningCopy copy;
  copy.id = start->id;
  copy.engine = indexFor(mEngineVersions, arg);
  copy.sent = start->offset;
  copy.length = std::max<std::int64_t>(start->offset + 1, 1 + arg % 5);
  copy.version = start->version;
  home.running.push_back(copy);
}

void
StepModel::sendChunk(Home& home, std::uint8_t arg, bool withVersion)
{
  if (home.running.empty()) {
    return;
  }
  auto& copy = home.running[indexFor(home.running, arg)];
  const auto version = mEngineVersions[copy.engine];
  // An engine refuses work that is bound to another version.
  const bool refused = copy.version && *copy.version != version;
  if (refused || copy.sent >= copy.length) {
    return;
  }
  Chunk chunk{ tokenText(version, 1), 1, std::nullopt };
  if (withVersion) {
    chunk.version = version;
  } else if (mDefects.guessVersions) {
    chunk.version = mNewestVersion;
  }
  ++copy.sent;
  home.step->addChunk(copy.id, chunk);
}

void
StepModel::finish(Home& home, std::uint8_t arg, Verdict verdict)
{
  if (home.running.empty()) {
    return;
  }
  const auto index = indexFor(home.running, arg);
  const auto copy = home.running[index];
  if (verdict == Verdict::Done && copy.sent < copy.length) {
    return;
  }
  home.running.erase(home.running.begin() + static_cast<long>(index));
  Outcome outcome;
  outcome.verdict = verdict;
  outcome.totalTokens = copy.sent;
  const auto end = home.step->finish(copy.id, outcome, mNow, 0.5);
  if (end == CopyOutcome::NeedsScore) {
    home.scoring.push_back(copy.id);
  }
  home.ended.push_back(copy.id);
}

void
StepModel::scoreOne(Home& home, std::uint8_t arg)
{
  if (home.scoring.empty()) {
    return;
  }
  const auto index = indexFor(home.scoring, arg);
  home.step->recordScore(home.scoring[index], 1.0);
  home.scoring.erase(home.scoring.begin() + static_cast<long>(index));
}

void
StepModel::finishAgain(Home& home, std::uint8_t arg)
{
  if (home.ended.empty()) {
    return;
  }
  const auto id = home.ended[indexFor(home.ended, arg)];
  Outcome outcome;
  outcome.verdict = Verdict::Done;
  home.step->addChunk(id, { "999;", 1, 999 });
  if (home.step->finish(id, outcome, mNow, 0.5) == CopyOutcome::NeedsScore) {
    recordViolation("the end of a copy was accepted twice");
  }
}

std::optional<StepModel::Reply>
StepModel::pull(Home& home)
{
  ++mPullNumber;
  const auto list =
    mDefects.ignoreReceived ? std::vector<Slot>() : receivedSlots();
  const auto opening = home.step->opening();
  auto result = home.step->pull(opening, list, mTrainerVersion);
  if (!result) {
    // A home other than the current one correctly refuses a list with slots
    // that it has not handed over.
    if (&home == &mHomes[mCurrentHome] && !mDefects.acceptOldOpenings) {
      recordViolation("a valid pull was refused: " + result.error().message);
    }
    return std::nullopt;
  }
  return Reply{
    opening, mPullNumber, std::move(result.value()), home.step->newestVersion()
  };
}

void
StepModel::deliver(const Reply& reply)
{
  // The trainer accepts only the reply to its last pull of the current opening.
  const bool current = reply.opening == mOpening && reply.pull == mPullNumber;
  if (!current && !mDefects.acceptOldOpenings) {
    return;
  }
  if (current) {
    // Each pull has one reply, so the next reply that the trainer accepts
    // belongs to its next pull.
    ++mPullNumber;
  }
  for (const auto& sample : reply.pulled.samples) {
    receive(sample, reply.newestAtHandOver);
  }
  if (current && reply.pulled.complete && !isComplete()) {
    recordViolation("an incomplete step was reported as complete");
  }
}

void
StepModel::receive(const Sample& sample, std::int64_t newestAtHandOver)
{
  if (!mReceived.emplace(sample.slot, sample).second) {
    recordViolation("P3: the trainer received a slot twice");
  }
  if (sample.segments != segmentsOfText(sample.text)) {
    recordViolation(
      "P1: segments differ from the versions that produced the tokens");
  }
  const auto age = sampleAge(sample.segments, newestAtHandOver);
  if (!age || *age > mStalenessBound) {
    recordViolation("P2: a stale sample was handed over");
  }
}

void
StepModel::acknowledge(Home& home)
{
  const bool isCorrect =
    !mDefects.ignoreReceived && !mDefects.acceptOldOpenings;
  if (&home == &mHomes[mCurrentHome] && isCorrect &&
      !home.step->acknowledge(mOpening, receivedSlots())) {
    recordViolation("a valid acknowledgement was refused");
  }
}

void
StepModel::apply(ScheduledEvent event)
{
  const auto [kind, arg] = event;
  // Most events concern the current home, some the other one.
  const auto other = 1 - mCurrentHome;
  const bool useOther = arg >= 192 && mHomes[other].step;
  auto& home = mHomes[useOther ? other : mCurrentHome];
  switch (kind % 24) {
    case 0:
    case 1:
    case 2:
      return startCopy(home, arg, 0);
    case 3:
      return startCopy(home, arg, 1);
    case 4:
    case 5:
    case 6:
    case 7:
    case 8:
      return sendChunk(home, arg, true);
    case 9:
      return sendChunk(home, arg, arg % 8 != 0);
    case 10:
    case 11:
    case 12:
      return finish(home, arg, Verdict::Done);
    case 13: // An engine crashes.
      return finish(home, arg, Verdict::Unknown);
    case 14:
      return finish(home, arg, Verdict::NotRun);
    case 15:
    case 16: // A scorer that is down is modelled by the absence of this event.
      return scoreOne(home, arg);
    case 17:
      return finishAgain(home, arg);
    case 18: // A pull, whose reply arrives, is lost, or arrives too late.
      if (const auto reply = pull(home)) {
        if (arg % 4 == 0) {
          mDelayedReplies.push_back(*reply);
        } else if (arg % 4 != 1) {
          deliver(*reply);
        }
      }
      return;
    case 19:
      if (!mDelayedReplies.empty()) {
        deliver(mDelayedReplies[indexFor(mDelayedReplies, arg)]);
      }
      return acknowledge(home);
    case 20:
      ++mNewestVersion;
      home.step->observeVersion(mNewestVersion);
      return;
    case 21: // A weight update during samples; half of the updates fail.
      if (arg % 2 == 0) {
        mEngineVersions[indexFor(mEngineVersions, arg / 2)] = mNewestVersion;
      }
      return;
    case 22:
      mTrainerVersion = mNewestVersion;
      mNow += Millis(arg);
      return;
    default: // A new home is opened; the old one is lost or continues.
      if (arg % 4 == 0) {
        if (arg % 8 == 0) {
          mHomes[mCurrentHome] = Home();
        }
        openAt(1 - mCurrentHome);
      }
      return;
  }
}

void
StepModel::completeCopies(Home& home)
{
  for (std::uint8_t i = 0; i < 64; ++i) {
    startCopy(home, i, 1);
  }
  for (int round = 0; round < 8; ++round) {
    for (std::size_t i = 0; i < home.running.size(); ++i) {
      sendChunk(home, static_cast<std::uint8_t>(i), true);
    }
  }
  while (!home.running.empty()) {
    const auto& copy = home.running.front();
    const bool isFullySent = copy.sent >= copy.length;
    finish(home, 0, isFullySent ? Verdict::Done : Verdict::Unknown);
  }
  while (!home.scoring.empty()) {
    scoreOne(home, 0);
  }
}

void
StepModel::runToCompletion()
{
  std::ranges::fill(mEngineVersions, mNewestVersion);
  for (int round = 0; round < 50 && !isComplete(); ++round) {
    mNow += std::chrono::seconds(10);
    completeCopies(mHomes[mCurrentHome]);
    if (const auto reply = pull(mHomes[mCurrentHome])) {
      deliver(*reply);
    }
  }
  if (!isComplete()) {
    recordViolation("the step was not completed");
  }
}

} // namespace lentilrack::core
