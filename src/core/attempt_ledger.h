#pragma once

#include "core/identity.h"
#include "core/time.h"
#include "core/work.h"

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lentilrack::core {

/// What a dispatcher has done with the attempts of a request.
enum class AttemptState
{
  Queued,
  /// The first byte may have been sent to a backend server.
  Started,
  Finished,
  /// The request is barred: the dispatcher has promised never to start it.
  Barred,
};

struct AttemptLedgerLimits
{
  /// How long finished and barred requests are kept: the longest lifetime of a
  /// ticket (15 min) plus a grace period (5 min). A bar must outlast every
  /// ticket with which the request could still be sent.
  Millis retention{ 20 * 60 * 1000 };
  /// Maximum number of requests in the ledger.
  std::size_t maxRecords = 1'000'000;
};

/// Result of AttemptLedger::bar().
struct BarResult
{
  AttemptState state = AttemptState::Barred;
  /// Outcome of the request; set if `state` is Finished.
  std::optional<Outcome> outcome;
  /// Queued attempts that the dispatcher must remove from its queue.
  std::vector<AttemptId> removed;
};

/// State of each request at one incarnation (one run of the process) of a
/// dispatcher, by request identifier. Ensures that a non-idempotent request
/// starts at most once at this dispatcher, and never after it was barred.
class AttemptLedger
{
public:
  explicit AttemptLedger(AttemptLedgerLimits limits = {});

  /// Records an attempt as queued and returns nothing. If the attempt must not
  /// run, returns the outcome to reply with instead.
  std::optional<Outcome> submit(const AttemptId& attempt,
                                bool idempotent,
                                TimePoint now);

  /// Records that an attempt starts; to be called right before the first byte
  /// is sent. Returns false if the attempt must not start.
  bool start(const AttemptId& attempt);

  /// Moves a started attempt back to the queue, after the backend server proved
  /// that it did not run.
  void requeue(const AttemptId& attempt);

  /// Records that a queued attempt was refused, for example because of
  /// overload. A request of which the ledger knows nothing else is removed, so
  /// that refusals do not fill the ledger. Otherwise `refusal` becomes the
  /// outcome of the attempt.
  void withdraw(const AttemptId& attempt,
                const Outcome& refusal,
                TimePoint now);

  /// Records the outcome of an attempt.
  void finish(const AttemptId& attempt, const Outcome& outcome, TimePoint now);

  /// Bars a request, so that it never starts here, and returns its state. A
  /// request that has started or finished is not barred. Returns nothing if the
  /// ledger is full: the bar cannot be recorded, and must not be reported.
  std::optional<BarResult> bar(const std::string& request, TimePoint now);

  /// Removes requests that were finished or barred at least the retention time
  /// ago.
  void expire(TimePoint now);

  /// Returns the state of a request, or nothing if it is not in the ledger.
  std::optional<AttemptState> state(const std::string& request) const;
  /// Returns the number of requests in the ledger.
  std::size_t size() const { return mRecords.size(); }

private:
  struct Record
  {
    bool idempotent = false;
    bool barred = false;
    /// Numbers of the queued and started attempts.
    std::set<std::uint32_t> queued;
    std::set<std::uint32_t> started;
    /// The highest attempt number that was queued.
    std::uint32_t highestNumber = 0;
    /// Outcome of the finished attempts. If they differ, Done replaces Unknown,
    /// and Unknown replaces NotRun.
    std::optional<Outcome> outcome;
    /// When the request was last barred, or an attempt last finished.
    TimePoint lastChange;
  };

  /// Removes expired records if the ledger is full. Returns whether a record
  /// can be added.
  bool makeRoom(TimePoint now);
  /// Restarts the retention time of the request's record.
  void restartRetention(const std::string& request,
                        Record& record,
                        TimePoint now);
  static AttemptState stateOf(const Record& record);
  /// Whether an attempt has finished with another verdict than NotRun.
  static bool mayHaveRun(const Record& record);

  AttemptLedgerLimits mLimits;
  /// Records by request identifier.
  std::unordered_map<std::string, Record> mRecords;
  /// Times at which retention was restarted, with the request identifiers,
  /// oldest first. Only the last entry of each request counts.
  std::deque<std::pair<TimePoint, std::string>> mChanges;
};

} // namespace lentilrack::core
