#pragma once

#include "core/autoscaling/server_counts.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace lentilrack::core {

/// An order for the number of servers of a pool.
struct PoolOrder
{
  std::string service;
  ServerPool pool;
  int servers = 0;

  bool operator==(const PoolOrder&) const = default;
};

/// What became of an order.
enum class PoolOrderOutcome
{
  Accepted,
  /// The provider has no more servers in this pool.
  Unavailable,
  /// The provider did not carry out the order.
  NotExecuted,
  /// The provider may or may not have carried out the order.
  Unknown,
};

/// Decides which order is sent to the provider next. Orders are sent only when
/// a number changes. An order of unknown outcome is repeated unchanged before
/// any other order for its service and failure domain, since it may still be
/// carried out after a later one. Each service and failure domain has at most
/// one order in progress.
class ServerOrderQueue
{
public:
  struct Limits
  {
    /// Minimum interval between two orders.
    Millis minInterval{ 200 };
    /// Wait before the next order for a service and failure domain after one
    /// that failed, and its maximum after repetitions.
    Millis initialBackoff{ 400 };
    Millis maxBackoff{ 5'000 };
  };

  explicit ServerOrderQueue(Limits limits)
    : mLimits(limits)
  {
  }

  /// Sets the number that the provider is known to have, unless an order for
  /// the pool was sent.
  void setKnown(const std::string& service,
                const ServerPool& pool,
                int servers);
  /// Sets the number that the pool should have. The provider is assumed to have
  /// no servers in a pool that was not mentioned before.
  void setWanted(const std::string& service,
                 const ServerPool& pool,
                 int servers);
  /// Forgets the number that the provider has, so that the next order is sent
  /// even if it repeats the last one.
  void forgetKnown(const std::string& service, const ServerPool& pool);
  /// Returns the order that is due now. It counts as in progress until
  /// finished() is called for it.
  std::optional<PoolOrder> next(TimePoint now);
  void finished(const PoolOrder& order,
                PoolOrderOutcome outcome,
                TimePoint now);
  /// Returns the number that the provider has, if it is known.
  std::optional<int> known(const std::string& service,
                           const ServerPool& pool) const;

private:
  struct Numbers
  {
    std::optional<int> known;
    std::optional<int> wanted;
    /// Number of an order whose outcome is unknown.
    std::optional<int> unconfirmed;
  };
  /// A service and a failure domain.
  using Subject = std::pair<std::string, std::string>;
  struct SubjectState
  {
    /// Numbers by kind; the key is whether it is reclaimable.
    std::map<bool, Numbers> kinds;
    bool isInProgress = false;
    TimePoint retryAt{};
    Millis backoff{ 0 };
  };

  Numbers& numbers(const std::string& service, const ServerPool& pool);
  /// Returns the next order for the subject, if there is one.
  static std::optional<PoolOrder> nextOf(const Subject& subject,
                                         const SubjectState& state);

  Limits mLimits;
  std::map<Subject, SubjectState> mSubjects;
  TimePoint mNextAt{};
};

} // namespace lentilrack::core
