#include "core/hedging/hedge_policy.h"

#include <algorithm>
#include <cmath>

namespace lentilrack::core {

namespace {

/// A 95th percentile of fewer than 20 values is only their maximum.
constexpr double kMinObservations = 20;
/// Shortest delay of a second attempt. On instances with a tenth of a core, a
/// response may be read this late although the server was fast.
constexpr PreciseMillis kMinDelay{ 20 };
/// A second attempt must be expected to save at least this much waiting time
/// for each millisecond of server time. With exponentially distributed
/// durations the ratio is 1 at any delay, since the time that has passed says
/// nothing about the remaining time. A higher ratio needs a tail of slow
/// requests, as slow servers cause it.
constexpr double kMinGainPerWork = 1.5;
/// Share of the allowed work that plans use on average. Slow requests come in
/// bursts, in which a plan that uses the whole limit on average would spend it
/// on the first requests instead of the slowest ones.
constexpr double kPlannedShare = 0.25;
/// A plan is used for this long before it is computed again, which keeps the
/// cost per request low on a busy instance.
constexpr Millis kPlanLifetime{ 250 };
/// Services and kinds come from the desired state, so this limit is reached
/// only if the names of services change repeatedly.
constexpr std::size_t kMaxSubjects = 256;
/// Wins and attempts that are assumed to have met the expectation, so that the
/// first few second attempts decide nothing.
constexpr double kAssumedWins = 4;
/// Upper limit of the correction of the expected work.
constexpr double kMaxWorkCorrection = 20;
/// In this time the weight of past wins and losses falls by half, so that
/// second attempts are tried again some minutes after they did not help.
constexpr std::chrono::duration<double> kOutcomeHalfLife{ 60 };

double
outcomeWeight(TimePoint since, TimePoint now)
{
  const auto age = std::max(now - since, TimePoint::duration::zero());
  return std::exp2(-std::chrono::duration<double>(age) / kOutcomeHalfLife);
}

/// The expected value of min(T, x) for durations T, as a function of x.
class ExpectedMinimum
{
public:
  explicit ExpectedMinimum(const std::vector<DurationShare>& durations)
    : mDurations(durations)
  {
    double longer = 1;
    PreciseMillis previous{ 0 };
    PreciseMillis expected{ 0 };
    for (const auto& bin : durations) {
      expected += longer * (bin.duration - previous);
      previous = bin.duration;
      longer -= bin.share;
      mExpected.push_back(expected);
      mLonger.push_back(std::max(0.0, longer));
    }
  }

  PreciseMillis at(PreciseMillis x) const
  {
    const auto next =
      std::ranges::upper_bound(mDurations, x, {}, &DurationShare::duration);
    const auto index = static_cast<std::size_t>(next - mDurations.begin());
    if (index == 0) {
      return x;
    }
    return mExpected[index - 1] +
           mLonger[index - 1] * (x - mDurations[index - 1].duration);
  }
  PreciseMillis mean() const { return mExpected.back(); }
  /// Returns the probability that T is shorter than x.
  double probabilityShorter(PreciseMillis x) const
  {
    const auto next =
      std::ranges::lower_bound(mDurations, x, {}, &DurationShare::duration);
    const auto index = static_cast<std::size_t>(next - mDurations.begin());
    return index == 0 ? 0 : 1 - mLonger[index - 1];
  }

private:
  const std::vector<DurationShare>& mDurations;
  /// Expected minimum, and share of longer durations, at each bin.
  std::vector<PreciseMillis> mExpected;
  std::vector<double> mLonger;
};

/// Sums over the attempts that take longer than a delay, weighted by their
/// shares.
struct LongAttempts
{
  double share = 0;
  PreciseMillis work{ 0 };
  PreciseMillis gain{ 0 };
  double wins = 0;
};

LongAttempts
longAttempts(const std::vector<DurationShare>& durations,
             const ExpectedMinimum& minimum,
             PreciseMillis delay)
{
  LongAttempts sums;
  for (const auto& bin : durations) {
    if (bin.duration > delay) {
      const auto remaining = bin.duration - delay;
      const auto work = minimum.at(remaining);
      sums.share += bin.share;
      sums.work += bin.share * work;
      sums.gain += bin.share * (remaining - work);
      sums.wins += bin.share * minimum.probabilityShorter(remaining);
    }
  }
  return sums;
}

} // namespace

std::optional<HedgePlan>
planHedge(const std::vector<DurationShare>& durations,
          double limit,
          HedgeCorrection correction)
{
  if (durations.empty() || limit <= 0) {
    return std::nullopt;
  }
  const ExpectedMinimum minimum(durations);
  const auto allowed = kPlannedShare * limit * minimum.mean();
  // The expectations only change at the durations that were observed.
  std::vector<PreciseMillis> delays{ kMinDelay };
  for (const auto& bin : durations) {
    if (bin.duration > kMinDelay) {
      delays.push_back(bin.duration);
    }
  }
  std::optional<HedgePlan> best;
  double bestGain = 0;
  for (const auto delay : delays) {
    auto sums = longAttempts(durations, minimum, delay);
    sums.work *= correction.work;
    sums.gain *= correction.gain;
    if (sums.share <= 0 || sums.gain < kMinGainPerWork * sums.work) {
      continue;
    }
    const double gain = sums.gain.count() * std::min(1.0, allowed / sums.work);
    if (gain > bestGain) {
      bestGain = gain;
      best = HedgePlan{ delay,
                        sums.work / sums.share,
                        sums.gain / sums.share,
                        sums.wins / sums.share,
                        correction.work };
    }
  }
  return best;
}

HedgePolicy::History*
HedgePolicy::historyOf(const Subject& subject)
{
  const auto found = mHistories.find(subject);
  if (found != mHistories.end()) {
    return &found->second;
  }
  return mHistories.size() < kMaxSubjects ? &mHistories[subject] : nullptr;
}

void
HedgePolicy::recordCompletion(const Subject& subject,
                              PreciseMillis duration,
                              TimePoint now)
{
  if (auto* history = historyOf(subject)) {
    history->durations.add(duration, now);
  }
}

void
HedgePolicy::recordCancellation(const Subject& subject,
                                PreciseMillis elapsed,
                                TimePoint now)
{
  if (auto* history = historyOf(subject)) {
    history->durations.addCancelled(elapsed, now);
  }
}

void
HedgePolicy::recordHedge(const Subject& subject,
                         const HedgePlan& plan,
                         PreciseMillis work,
                         bool hasWon,
                         TimePoint now)
{
  auto* history = historyOf(subject);
  if (history == nullptr || plan.expectedWork <= PreciseMillis(0)) {
    return;
  }
  auto& outcomes = history->outcomes;
  const double weight = outcomeWeight(outcomes.decayedAt, now);
  outcomes.expectedWins = outcomes.expectedWins * weight + plan.winProbability;
  outcomes.wins = outcomes.wins * weight + (hasWon ? 1 : 0);
  // The expected work contains the correction that was in force.
  outcomes.workRatios = outcomes.workRatios * weight +
                        plan.workCorrection * (work / plan.expectedWork);
  outcomes.attempts = outcomes.attempts * weight + 1;
  outcomes.decayedAt = now;
}

HedgeCorrection
HedgePolicy::correctionOf(const Outcomes& outcomes, TimePoint now)
{
  const double weight = outcomeWeight(outcomes.decayedAt, now);
  const auto ratio = [&](double observed, double expected) {
    return (observed * weight + kAssumedWins) /
           (expected * weight + kAssumedWins);
  };
  return { std::min(1.0, ratio(outcomes.wins, outcomes.expectedWins)),
           std::clamp(ratio(outcomes.workRatios, outcomes.attempts),
                      1.0,
                      kMaxWorkCorrection) };
}

std::optional<HedgePlan>
HedgePolicy::plan(const Subject& subject, double limit, TimePoint now) const
{
  const auto found = mHistories.find(subject);
  if (found == mHistories.end() || limit <= 0 ||
      found->second.durations.count(now) < kMinObservations) {
    return std::nullopt;
  }
  const auto& history = found->second;
  const bool isCurrent =
    history.plannedLimit == limit && now < history.plannedAt + kPlanLifetime;
  if (!isCurrent) {
    history.plan = planHedge(
      history.durations.shares(), limit, correctionOf(history.outcomes, now));
    history.plannedLimit = limit;
    history.plannedAt = now;
  }
  return history.plan;
}

} // namespace lentilrack::core
