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

/// One operation of a schedule: what happens, and to whom.
using ScheduleStep = std::pair<std::uint8_t, std::uint8_t>;

/// Defects that a test can put between a step and its surroundings, to show
/// that the checks notice them.
struct ModelDefects
{
  /// Tokens without a version are attributed to the newest version.
  bool guessVersions = false;
  /// The staleness bound is not enforced.
  bool ignoreBound = false;
  /// A pull forgets what the trainer has.
  bool ignoreHave = false;
  /// The trainer takes replies of earlier openings.
  bool takeOldOpenings = false;
};

/// A trainer, two homes and a few engines, driven by a schedule. Every token's
/// text names the version that really produced it, so that the trainer can
/// check the segments.
class StepModel
{
public:
  StepModel(StepSpec spec, std::int64_t bound, ModelDefects defects);

  void apply(ScheduleStep operation);
  /// Lets everything succeed until the trainer has the step.
  void settle();

  /// The first violated guarantee; empty if there is none.
  const std::string& violation() const { return mViolation; }
  bool isComplete() const;
  std::size_t samplesTaken() const { return mTaken.size(); }

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
    PulledSamples handOver;
    /// Newest version known where and when it was handed over.
    std::int64_t newest = 0;
  };

  void openAt(std::size_t home);
  void startCopy(Home& home, std::uint8_t arg, std::int64_t idle);
  void sendChunk(Home& home, std::uint8_t arg, bool withVersion);
  void finish(Home& home, std::uint8_t arg, Verdict verdict);
  void scoreOne(Home& home, std::uint8_t arg);
  void repeatEnded(Home& home, std::uint8_t arg);
  std::optional<Reply> pull(Home& home);
  void deliver(const Reply& reply);
  void take(const Sample& sample, std::int64_t newest);
  void acknowledge(Home& home);
  void violate(std::string what);
  std::vector<Slot> have() const;
  void settleHome(Home& home);

  StepSpec mSpec;
  std::int64_t mBound;
  ModelDefects mDefects;
  std::vector<Home> mHomes{ 2 };
  std::size_t mCurrent = 0;
  std::int64_t mOpening = 0;
  std::uint64_t mPull = 0;
  std::int64_t mNewest = 1;
  std::int64_t mTrainerVersion = 1;
  std::vector<std::int64_t> mEngines{ 1, 1, 1 };
  std::vector<Reply> mDelayed;
  std::map<Slot, Sample> mTaken;
  TimePoint mNow;
  std::string mViolation;
};

} // namespace lentilrack::core
