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

enum class AttemptState
{
  Queued,
  /// The first byte may have been written towards a backend server.
  Started,
  Finished,
  Barred,
};

struct AttemptLedgerLimits
{
  /// Longest lifetime of a ticket (15 min) and a grace period (5 min). A bar
  /// must outlast every ticket under which the request could still be sent.
  Millis retention{ 20 * 60 * 1000 };
  std::size_t records = 1'000'000;
};

/// Answer to a bar request.
struct BarResult
{
  AttemptState state = AttemptState::Barred;
  /// Set if Finished.
  std::optional<Outcome> outcome;
  /// Queued attempts that must now leave the queue.
  std::vector<AttemptId> removed;
};

/// What this dispatcher run knows of each request identifier. Ensures that a
/// non-idempotent request starts at most once here, and never after a bar.
class AttemptLedger
{
public:
  explicit AttemptLedger(AttemptLedgerLimits limits = {});

  /// Takes an attempt as Queued. Otherwise returns the outcome to answer with;
  /// the attempt must then not run.
  std::optional<Outcome> submit(const AttemptId& attempt,
                                bool idempotent,
                                TimePoint now);

  /// Called right before the first byte. False if the attempt must not start.
  bool start(const AttemptId& attempt);

  /// The backend server proved that the started attempt did not run, and it is
  /// queued again.
  void requeue(const AttemptId& attempt);

  /// The attempt was refused before it could start. Forgets the request if
  /// nothing else is known of it, so that refusals under overload do not fill
  /// the ledger.
  void withdraw(const AttemptId& attempt,
                const Outcome& refusal,
                TimePoint now);

  void finish(const AttemptId& attempt, const Outcome& outcome, TimePoint now);

  /// Nothing if the bar cannot be recorded because the ledger is full; then no
  /// claim may be made.
  std::optional<BarResult> bar(const std::string& request, TimePoint now);

  /// Forgets finished and barred requests after the retention time.
  void expire(TimePoint now);

  std::optional<AttemptState> state(const std::string& request) const;
  std::size_t size() const { return mRecords.size(); }

private:
  struct Record
  {
    bool idempotent = false;
    bool barred = false;
    std::set<std::uint32_t> queued;
    std::set<std::uint32_t> started;
    /// The highest attempt number that was taken.
    std::uint32_t highest = 0;
    /// The most telling outcome: Done before Unknown before NotRun.
    std::optional<Outcome> outcome;
    /// When it was last barred or finished.
    TimePoint settled;
  };

  bool makeRoom(TimePoint now);
  void settle(const std::string& request, Record& record, TimePoint now);
  static AttemptState stateOf(const Record& record);
  static bool hasRun(const Record& record);

  AttemptLedgerLimits mLimits;
  std::unordered_map<std::string, Record> mRecords;
  /// In the order of settling; an entry is void if its record settled again.
  std::deque<std::pair<TimePoint, std::string>> mSettled;
};

} // namespace lentilrack::core
