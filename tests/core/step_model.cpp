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
pick(const Container& container, std::uint8_t arg)
{
  return arg % container.size();
}

} // namespace

StepModel::StepModel(StepSpec spec, std::int64_t bound, ModelDefects defects)
  : mSpec(std::move(spec))
  , mBound(bound)
  , mDefects(defects)
{
  openAt(0);
}

void
StepModel::violate(std::string what)
{
  if (mViolation.empty()) {
    mViolation = std::move(what);
  }
}

std::vector<Slot>
StepModel::have() const
{
  std::vector<Slot> slots;
  std::ranges::transform(
    mTaken, std::back_inserter(slots), [](const auto& e) { return e.first; });
  return slots;
}

bool
StepModel::isComplete() const
{
  std::map<std::int64_t, std::int64_t> counts;
  for (const auto& [slot, sample] : mTaken) {
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
  mCurrent = home;
  ++mOpening;
  ++mPull;
  auto& target = mHomes[home];
  if (target.step) {
    if (!target.step->reopen(mSpec, mOpening, have())) {
      violate("a reopening with the same prompts was refused");
    }
    return;
  }
  target = Home();
  target.step.emplace(Step::open(mSpec, mOpening, have()).value());
  const auto bound = mDefects.ignoreBound ? 1'000'000 : mBound;
  if (!target.step->setStalenessBound(bound)) {
    violate("the bound was refused");
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
  copy.engine = pick(mEngines, arg);
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
  auto& copy = home.running[pick(home.running, arg)];
  const auto version = mEngines[copy.engine];
  // An engine refuses work that is bound to another version.
  const bool refused = copy.version && *copy.version != version;
  if (refused || copy.sent >= copy.length) {
    return;
  }
  Chunk chunk{ tokenText(version, 1), 1, std::nullopt };
  if (withVersion) {
    chunk.version = version;
  } else if (mDefects.guessVersions) {
    chunk.version = mNewest;
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
  const auto index = pick(home.running, arg);
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
  const auto index = pick(home.scoring, arg);
  home.step->recordScore(home.scoring[index], 1.0);
  home.scoring.erase(home.scoring.begin() + static_cast<long>(index));
}

void
StepModel::repeatEnded(Home& home, std::uint8_t arg)
{
  if (home.ended.empty()) {
    return;
  }
  const auto id = home.ended[pick(home.ended, arg)];
  Outcome outcome;
  outcome.verdict = Verdict::Done;
  home.step->addChunk(id, { "999;", 1, 999 });
  if (home.step->finish(id, outcome, mNow, 0.5) == CopyOutcome::NeedsScore) {
    violate("a copy ended twice");
  }
}

std::optional<StepModel::Reply>
StepModel::pull(Home& home)
{
  ++mPull;
  const auto list = mDefects.ignoreHave ? std::vector<Slot>() : have();
  const auto opening = home.step->opening();
  auto result = home.step->pull(opening, list, mTrainerVersion);
  if (!result) {
    // An old home rightly refuses what it never sent.
    if (&home == &mHomes[mCurrent] && !mDefects.takeOldOpenings) {
      violate("a valid pull was refused: " + result.error().message);
    }
    return std::nullopt;
  }
  return Reply{
    opening, mPull, std::move(result.value()), home.step->newestVersion()
  };
}

void
StepModel::deliver(const Reply& reply)
{
  // The trainer takes the answer to its last pull of its current opening only.
  const bool current = reply.opening == mOpening && reply.pull == mPull;
  if (!current && !mDefects.takeOldOpenings) {
    return;
  }
  if (current) {
    // A pull has one reply.
    ++mPull;
  }
  for (const auto& sample : reply.handOver.samples) {
    take(sample, reply.newest);
  }
  if (current && reply.handOver.complete && !isComplete()) {
    violate("an incomplete step was reported as complete");
  }
}

void
StepModel::take(const Sample& sample, std::int64_t newest)
{
  if (!mTaken.emplace(sample.slot, sample).second) {
    violate("P3: a slot reached the trainer twice");
  }
  if (sample.segments != segmentsOfText(sample.text)) {
    violate("P1: segments differ from the versions that ran");
  }
  const auto age = sampleAge(sample.segments, newest);
  if (!age || *age > mBound) {
    violate("P2: a stale sample was handed over");
  }
}

void
StepModel::acknowledge(Home& home)
{
  const bool honest = !mDefects.ignoreHave && !mDefects.takeOldOpenings;
  if (&home == &mHomes[mCurrent] && honest &&
      !home.step->acknowledge(mOpening, have())) {
    violate("a valid acknowledgement was refused");
  }
}

void
StepModel::apply(ScheduleStep operation)
{
  const auto [kind, arg] = operation;
  // Most operations concern the current home; some the one before.
  const auto other = 1 - mCurrent;
  const bool old = arg >= 192 && mHomes[other].step;
  auto& home = mHomes[old ? other : mCurrent];
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
    case 13: // Engine crash.
      return finish(home, arg, Verdict::Unknown);
    case 14:
      return finish(home, arg, Verdict::NotRun);
    case 15:
    case 16: // A scorer that is down is a schedule without these.
      return scoreOne(home, arg);
    case 17:
      return repeatEnded(home, arg);
    case 18: // The reply arrives, is lost, or arrives too late.
      if (const auto reply = pull(home)) {
        if (arg % 4 == 0) {
          mDelayed.push_back(*reply);
        } else if (arg % 4 != 1) {
          deliver(*reply);
        }
      }
      return;
    case 19:
      if (!mDelayed.empty()) {
        deliver(mDelayed[pick(mDelayed, arg)]);
      }
      return acknowledge(home);
    case 20:
      ++mNewest;
      home.step->observeVersion(mNewest);
      return;
    case 21: // Swap in the middle of samples; half of the swaps fail.
      if (arg % 2 == 0) {
        mEngines[pick(mEngines, arg / 2)] = mNewest;
      }
      return;
    case 22:
      mTrainerVersion = mNewest;
      mNow += Millis(arg);
      return;
    default: // A new home: the old one is dead, or lives on.
      if (arg % 4 == 0) {
        if (arg % 8 == 0) {
          mHomes[mCurrent] = Home();
        }
        openAt(1 - mCurrent);
      }
      return;
  }
}

void
StepModel::settleHome(Home& home)
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
    const bool whole = copy.sent >= copy.length;
    finish(home, 0, whole ? Verdict::Done : Verdict::Unknown);
  }
  while (!home.scoring.empty()) {
    scoreOne(home, 0);
  }
}

void
StepModel::settle()
{
  std::ranges::fill(mEngines, mNewest);
  for (int round = 0; round < 50 && !isComplete(); ++round) {
    mNow += std::chrono::seconds(10);
    settleHome(mHomes[mCurrent]);
    if (const auto reply = pull(mHomes[mCurrent])) {
      deliver(*reply);
    }
  }
  if (!isComplete()) {
    violate("the step did not come to an end");
  }
}

} // namespace lentilrack::core
