#pragma once

#include "core/time.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace lentilrack::core {

/// A server that states a request rate is used like others again if it has not
/// responded for this time, since only a response tells that the limit has
/// ended.
inline constexpr Millis kStatedRateRecheckTime{ 2'000 };
/// A permit must be used within this time after the question. A process that
/// was paused in between asks again.
inline constexpr Millis kPermitLifetime{ 500 };
/// Delay before the next question if the allocator is unknown, unreachable, or
/// takes another instance for the allocator.
inline constexpr Millis kPermitUnavailableDelay{ 150 };

/// Which requests get the permits of a server when there are too few of them.
enum class PermitPriority
{
  /// A caller is waiting for the response.
  Interactive,
  /// Items of batches and the calls that score them.
  Background,
};

/// Answer of the allocator of a server's request rate.
struct PermitDecision
{
  bool isGranted = false;
  /// When to ask again, by the priority of the next request. The answer would
  /// be no before then.
  Millis nextInteractive{ 0 };
  Millis nextBackground{ 0 };
};

struct RateAllocatorOptions
{
  /// A new allocator grants no permit for this time, because other instances
  /// may still ask its predecessor.
  Millis takeoverDelay{ 500 };
  /// Unused permits of this time may be used at once, and `minBurst` in
  /// addition, so that a low rate can be used in full although requests come
  /// irregularly.
  Millis burstTime{ 500 };
  double minBurst = 2;
  /// Requests with background priority leave this many permits to those with
  /// interactive priority.
  double interactiveReserve = 1;
  /// A server that states a lower rate still gets this many requests per
  /// second, since only a response tells that it no longer limits its load.
  double minRate = 0.1;
  /// Refused instances are told to ask again so late that the allocator gets
  /// about this many questions per second for each server, however many
  /// instances ask.
  double maxQuestionsPerSecond = 50;
  /// An instance that has not asked for this time no longer counts as asking.
  Millis askerTimeout{ 15'000 };
  /// The allocation of a server that no instance has asked for in this time is
  /// dropped. Servers that have left are not reported to the allocator.
  Millis idleTimeout{ std::chrono::hours(1) };
};

/// Keeps the requests to backend servers within the rates that the servers
/// state for all instances together. For each server one instance, the
/// allocator, grants a permit for each request of any instance. Permits that
/// one instance does not use thus remain for the others, and the total does not
/// depend on the number of instances.
class RateAllocator
{
public:
  explicit RateAllocator(RateAllocatorOptions options = {});

  /// Decides whether `instance` may send a request to a server that states
  /// `rate` requests per second. The first call for a server starts its
  /// allocation without unused permits.
  PermitDecision request(const std::string& server,
                         double rate,
                         const std::string& instance,
                         PermitPriority priority,
                         TimePoint now);
  /// Ends the allocation of the server's rate.
  void remove(const std::string& server) { mBuckets.erase(server); }

private:
  /// Token bucket of one server.
  struct Bucket
  {
    double tokens = 0;
    TimePoint refilledAt{};
    /// When each instance was last refused, by instance.
    std::unordered_map<std::string, TimePoint> refusedAt;
  };

  /// Drops the allocations that have been idle for too long.
  void removeIdle(TimePoint now);
  void refill(Bucket& bucket, double rate, TimePoint now) const;
  /// Returns the time until the bucket holds `tokens`.
  static Millis timeUntil(const Bucket& bucket, double tokens, double rate);
  /// Returns how long refused instances wait at least, so that all of them
  /// together do not ask too often.
  Millis questionInterval(Bucket& bucket, TimePoint now) const;

  RateAllocatorOptions mOptions;
  std::unordered_map<std::string, Bucket> mBuckets;
  TimePoint mIdleRemovedAt{};
};

/// Returns how long a request may wait for a server whose next permit is
/// expected at `nextPermitAt`, or nothing if the request must be rejected at
/// once because the permit would come too late.
std::optional<Millis>
waitForPermit(TimePoint nextPermitAt,
              TimePoint requestStart,
              TimePoint deadline,
              TimePoint now);

} // namespace lentilrack::core
