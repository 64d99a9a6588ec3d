#pragma once

#include "core/step.h"
#include "core/version_tracker.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lentilrack::core {

/// One event of a schedule: its kind, and an argument that selects the copy,
/// engine or home concerned.
using ScheduledEvent = std::pair<std::uint8_t, std::uint8_t>;

/// Defects that a test can add to the environment of a step, to show that the
/// checks of StepModel detect them.
struct ModelDefects
{
  /// Tokens without a version are attributed to the newest version.
  bool guessVersions = false;
  /// The staleness bound is not enforced.
  bool ignoreBound = false;
  /// A pull does not list the samples that the trainer has.
  bool ignoreReceived = false;
  /// The trainer accepts replies of earlier openings, that is, replies from
  /// before it opened the step again.
  bool acceptOldOpenings = false;
};

/// Model of a trainer, two homes (processes that run the step) and three
/// engines, driven by a schedule of events. The text of each token names the
/// version that produced it, so that the trainer can check the segments. The
/// model checks three guarantees:
/// P1: the segments of a sample name the versions that produced its tokens.
/// P2: no sample is older than the staleness bound when it is handed over.
/// P3: the trainer gets each slot's sample at most once.
class StepModel
{
public:
  StepModel(StepSpec spec, std::int64_t bound, ModelDefects defects);

  void apply(ScheduledEvent event);
  /// Lets every copy, score and pull succeed until the trainer has all groups.
  void runToCompletion();

  /// Returns the first violation, or an empty text if there is none.
  const std::string& violation() const { return mViolation; }
  bool isComplete() const;
  std::size_t samplesReceived() const { return mReceived.size(); }

private:
  struct RunningCopy
  {
    CopyId id = 0;
    std::size_t engine = 0;
    std::int64_t sent = 0;
    std::int64_t length = 0;
    std::optional<std::int64_t> version;
  };

  struct Home
  {
    std::optional<Step> step;
    std::vector<RunningCopy> running;
    std::vector<CopyId> scoring;
    std::vector<CopyId> ended;
  };

  struct Reply
  {
    std::int64_t opening = 0;
    std::uint64_t pull = 0;
    PulledSamples pulled;
    /// Newest version known to the home when it handed over the samples.
    std::int64_t newestAtHandOver = 0;
  };

  void openAt(std::size_t home);
  void startCopy(Home& home, std::uint8_t arg, std::int64_t idle);
  void sendChunk(Home& home, std::uint8_t arg, bool withVersion);
  void finish(Home& home, std::uint8_t arg, Verdict verdict);
  void scoreOne(Home& home, std::uint8_t arg);
  void finishAgain(Home& home, std::uint8_t arg);
  std::optional<Reply> pull(Home& home);
  void deliver(const Reply& reply);
  void receive(const Sample& sample, std::int64_t newestAtHandOver);
  void acknowledge(Home& home);
  void recordViolation(std::string what);
  std::vector<Slot> receivedSlots() const;
  void completeCopies(Home& home);

  StepSpec mSpec;
  std::int64_t mStalenessBound;
  ModelDefects mDefects;
  std::vector<Home> mHomes{ 2 };
  std::size_t mCurrentHome = 0;
  std::int64_t mOpening = 0;
  std::uint64_t mPullNumber = 0;
  std::int64_t mNewestVersion = 1;
  std::int64_t mTrainerVersion = 1;
  std::vector<std::int64_t> mEngineVersions{ 1, 1, 1 };
  std::vector<Reply> mDelayedReplies;
  std::map<Slot, Sample> mReceived;
  TimePoint mNow;
  std::string mViolation;
};

} // namespace lentilrack::core
