#pragma once

#include "core/step.h"
#include "core/version_tracker.h"
#include "entry/dispatch_client.h"
#include "entry/sample_scorer.h"
#include "net/log.h"
#include "net/metrics.h"
#include "net/notifier.h"

#include <functional>
#include <list>
#include <map>
#include <memory>

namespace lentilrack::entry {

/// Capacity of the engines of one model, as reported by the dispatchers.
struct ModelCapacity
{
  std::int64_t slots = 0;
  /// Free slots of the dispatchers that have no queued work.
  std::int64_t idleSlots = 0;
};

/// Objects and functions that the steps of one process share.
struct StepServices
{
  net::asio::io_context* io = nullptr;
  net::Metrics* metrics = nullptr;
  std::shared_ptr<SampleScorer> scorer;
  std::shared_ptr<core::VersionTracker> versions;
  /// Chooses a dispatcher and runs one attempt there.
  std::function<net::Awaitable<DispatchResult>(DispatchCall)> run;
  std::function<ModelCapacity(const std::string& model)> capacity;
  /// Returns the row of the current table for the step's work, or null if the
  /// row has been removed.
  std::function<const core::Row*(const core::StepSpec&)> row;
};

/// Result of a pull: samples, or the reason why there are none.
struct PullResult
{
  std::optional<core::StepError> error;
  core::PulledSamples pulledSamples;
  /// Number of samples and answers of the step dropped as stale so far.
  std::int64_t droppedStale = 0;
  /// True if a later pull replaced this one or the step was closed.
  bool isSuperseded = false;
};

/// Runs the rollouts of one step and answers the trainer's pulls. Several
/// copies of a rollout, that is, runs of the same prompt for the same sample,
/// may be in progress at once; the first usable result becomes the sample.
class StepRunner : public std::enable_shared_from_this<StepRunner>
{
public:
  StepRunner(std::shared_ptr<const StepServices> services, core::Step step);

  /// Starts the loop that starts and cancels rollouts until the step is closed.
  void startLoop();
  /// Closes the step and cancels its rollouts. A waiting pull ends as
  /// superseded.
  void close();
  bool isClosed() const { return mIsClosed; }

  /// Opens the step again, with the same opening number or a higher one.
  /// `received` lists the samples that the trainer has. Errors as in
  /// core::Step::reopen().
  core::Result<void, core::StepError> reopen(
    const core::StepSpec& spec,
    std::int64_t opening,
    const std::vector<core::Slot>& received,
    std::int64_t version);
  /// Waits for up to `wait` until there are samples or the step is complete,
  /// and returns the samples. Replaces a pull that is still waiting.
  net::Awaitable<PullResult> pull(std::int64_t opening,
                                  std::vector<core::Slot> received,
                                  std::int64_t version,
                                  core::Millis wait);
  /// Marks the listed samples as received by the trainer. Errors as in
  /// core::Step::acknowledge().
  core::Result<void, core::StepError> acknowledge(
    std::int64_t opening,
    const std::vector<core::Slot>& received);

  const core::Step& step() const { return mStep; }
  /// Returns the time of the trainer's last valid message for the step.
  core::TimePoint lastMessageAt() const { return mLastMessageAt; }
  /// To be called when a newer weight version may be known.
  void onVersionsChanged();

private:
  net::Awaitable<void> loop();
  void startCopies();
  void cancelCopies();
  core::Millis maxWait() const;
  std::shared_ptr<net::Notifier> replaceWaitingPull();
  net::Awaitable<void> runCopy(core::CopyStart start, core::Millis deadline);
  DispatchCall makeCall(const core::CopyStart& start, core::Millis deadline);
  void handleChunk(core::CopyId copy, const core::Chunk& chunk);
  void submitForScore(core::CopyId copy, std::int64_t group);
  void applyNewestVersion();
  bool applyCurrentRow(core::Millis* deadline);
  void notifyChange();

  std::shared_ptr<const StepServices> mServices;
  core::Step mStep;
  bool mIsClosed = false;
  core::TimePoint mLastMessageAt;
  /// No copy starts before this time; set when a dispatcher refuses a copy.
  core::TimePoint mPausedUntil;
  net::Notifier mWake;
  /// Notifies the waiting pull; replaced by each later pull.
  std::shared_ptr<net::Notifier> mPullWake;
  std::uint64_t mLastPullNumber = 0;
  /// Cancel signals of the running copies.
  std::map<core::CopyId, std::shared_ptr<net::CancelSignal>> mCancelSignals;
  /// Copies that the loop must cancel.
  std::vector<core::CopyId> mUnwantedCopies;
};

} // namespace lentilrack::entry
