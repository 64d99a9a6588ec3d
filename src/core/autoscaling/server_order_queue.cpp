#include "core/autoscaling/server_order_queue.h"

#include <algorithm>

namespace lentilrack::core {

ServerOrderQueue::Numbers&
ServerOrderQueue::numbers(const std::string& service, const ServerPool& pool)
{
  return mSubjects[{ service, pool.failureDomain }].kinds[pool.isReclaimable];
}

void
ServerOrderQueue::setKnown(const std::string& service,
                           const ServerPool& pool,
                           int servers)
{
  auto& state = numbers(service, pool);
  if (!state.wanted) {
    state.known = servers;
  }
}

void
ServerOrderQueue::setWanted(const std::string& service,
                            const ServerPool& pool,
                            int servers)
{
  auto& state = numbers(service, pool);
  if (!state.known && !state.wanted) {
    state.known = 0;
  }
  state.wanted = servers;
}

void
ServerOrderQueue::forgetKnown(const std::string& service,
                              const ServerPool& pool)
{
  numbers(service, pool).known.reset();
}

std::optional<int>
ServerOrderQueue::known(const std::string& service,
                        const ServerPool& pool) const
{
  const auto subject = mSubjects.find({ service, pool.failureDomain });
  if (subject == mSubjects.end()) {
    return std::nullopt;
  }
  const auto kind = subject->second.kinds.find(pool.isReclaimable);
  return kind == subject->second.kinds.end() ? std::nullopt
                                             : kind->second.known;
}

std::optional<PoolOrder>
ServerOrderQueue::nextOf(const Subject& subject, const SubjectState& state)
{
  const auto& [service, domain] = subject;
  for (const auto& [isReclaimable, numbers] : state.kinds) {
    if (numbers.unconfirmed) {
      return PoolOrder{ service,
                        { domain, isReclaimable },
                        *numbers.unconfirmed };
    }
  }
  std::optional<PoolOrder> increase;
  for (const auto& [isReclaimable, numbers] : state.kinds) {
    if (!numbers.wanted || numbers.wanted == numbers.known) {
      continue;
    }
    const PoolOrder order{ service,
                           { domain, isReclaimable },
                           *numbers.wanted };
    // Reductions come first, so that the sum of both kinds never exceeds the
    // maximum of the failure domain.
    if (!numbers.known || *numbers.wanted < *numbers.known) {
      return order;
    }
    increase = order;
  }
  return increase;
}

std::optional<PoolOrder>
ServerOrderQueue::next(TimePoint now)
{
  if (now < mNextAt) {
    return std::nullopt;
  }
  for (auto& [subject, state] : mSubjects) {
    if (state.isInProgress || now < state.retryAt) {
      continue;
    }
    if (auto order = nextOf(subject, state)) {
      state.isInProgress = true;
      mNextAt = now + mLimits.minInterval;
      return order;
    }
  }
  return std::nullopt;
}

void
ServerOrderQueue::finished(const PoolOrder& order,
                           PoolOrderOutcome outcome,
                           TimePoint now)
{
  auto& state = mSubjects[{ order.service, order.pool.failureDomain }];
  auto& numbers = state.kinds[order.pool.isReclaimable];
  state.isInProgress = false;
  const bool isAnswered = outcome == PoolOrderOutcome::Accepted ||
                          outcome == PoolOrderOutcome::Unavailable;
  if (isAnswered) {
    state.backoff = Millis(0);
    numbers.unconfirmed.reset();
    if (outcome == PoolOrderOutcome::Accepted) {
      numbers.known = order.servers;
    } else {
      // The caller sets the number again once the pool may have servers.
      numbers.wanted = numbers.known;
    }
    return;
  }
  if (outcome == PoolOrderOutcome::Unknown) {
    numbers.unconfirmed = order.servers;
  }
  state.backoff = state.backoff == Millis(0)
                    ? mLimits.initialBackoff
                    : std::min(2 * state.backoff, mLimits.maxBackoff);
  state.retryAt = now + state.backoff;
}

} // namespace lentilrack::core
