#pragma once

#include "core/time.h"
#include "core/work.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lentilrack::core {

/// BLAKE2b-128 hash of a request body or an order identifier.
using Digest = std::array<unsigned char, 16>;

/// Returns the digest of `bytes`.
Digest
digestOf(std::string_view bytes);

/// Limits on the memory that an OrderLedger uses.
struct OrderLedgerLimits
{
  /// Maximum number of records, of about 300 bytes each. Records are kept for
  /// up to 20 minutes (1,200 s), so 300,000 records are enough for 250 orders
  /// per second at one instance.
  std::size_t maxOrders = 300'000;
  /// Largest answer recorded for one order, in bytes.
  std::size_t answerBytes = 64UL * 1024;
  /// Total size of all recorded answers, in bytes.
  std::size_t totalAnswerBytes = 48UL * 1024 * 1024;
};

/// State and outcome of the orders whose home (the instance that records their
/// outcomes) is this process. An outcome is recorded here before it is reported
/// to the caller, so that a duplicate request always gets the same outcome.
class OrderLedger
{
public:
  enum class State
  {
    InFlight,
    Done,
    NotRun,
    Unknown,
  };

  struct Record
  {
    /// Digest of the request body.
    Digest body{};
    State state = State::InFlight;
    /// Meaningful unless the order is in flight. If the verdict is Done but the
    /// answer is not stored, the reason is "answer_lost".
    Outcome outcome;
    std::vector<Chunk> answer;
    /// Whether an attempt was begun that may still run.
    bool isAttemptOutstanding = false;
    /// Number of attempts begun.
    std::uint32_t attempts = 0;
    /// The record must not be removed before this time.
    TimePoint keepUntil;
  };

  /// Result of admit().
  enum class AdmitResult
  {
    /// First request with this identifier; recorded as in flight. The caller of
    /// admit() must run the order.
    New,
    /// The same order is in flight.
    Joined,
    /// The order has finished; its outcome is in the record.
    Recorded,
    /// The identifier was used before with a different body.
    BodyMismatch,
    /// The ledger is full, and nothing was recorded.
    Full,
  };

  explicit OrderLedger(OrderLedgerLimits limits = {});

  /// Looks up or adds the record of a request. A new record is kept at least
  /// until `keepUntil`.
  AdmitResult admit(const std::string& id,
                    const Digest& body,
                    TimePoint keepUntil,
                    TimePoint now);
  /// Returns the record of the identifier, or null if there is none.
  const Record* find(const std::string& id) const;

  /// Begins the next attempt and returns its number, counted from 1. Returns
  /// nothing if the order is not in flight or an attempt is outstanding.
  std::optional<std::uint32_t> beginAttempt(const std::string& id);
  /// Records that the outstanding attempt provably has not run and never will.
  void recordAttemptNotRun(const std::string& id);
  /// Records the outcome of an order, unless an outcome was recorded before,
  /// and returns the recorded outcome. NotRun is recorded as Unknown while an
  /// attempt is outstanding. For an order without a record, returns Unknown
  /// with the reason "not_recorded".
  Outcome finish(const std::string& id,
                 Outcome outcome,
                 std::vector<Chunk> answer);

  /// Removes the record of an order that is in flight. Allowed only if no
  /// outcome was reported and the order may run again, as for an idempotent
  /// order that was cancelled.
  void removeInFlight(const std::string& id);

  /// Removes finished records whose `keepUntil` has passed. Orders in flight
  /// are kept.
  void expire(TimePoint now);

  /// Returns the number of records.
  std::size_t size() const { return mRecords.size(); }
  /// Returns the number of orders in flight.
  std::size_t inFlight() const { return mInFlight; }
  /// Returns the total size of the stored answers, in bytes.
  std::size_t answerBytes() const { return mAnswerBytes; }

private:
  using Records = std::map<Digest, Record>;

  void storeAnswer(const Digest& key,
                   Record& record,
                   std::vector<Chunk> answer);
  void dropAnswer(Record& record);

  OrderLedgerLimits mLimits;
  /// Records by the digest of the order identifier.
  Records mRecords;
  /// Keys of the records, ordered by `keepUntil`.
  std::set<std::pair<TimePoint, Digest>> mByKeepUntil;
  /// Keys of the orders with a stored answer, oldest first.
  std::deque<Digest> mAnswerKeys;
  std::size_t mAnswerBytes = 0;
  std::size_t mInFlight = 0;
};

} // namespace lentilrack::core
