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

/// BLAKE2b-128 of a body or of an identifier.
using Digest = std::array<unsigned char, 16>;

Digest
digestOf(std::string_view bytes);

/// Bounds of the memory that a ledger uses.
struct OrderLedgerLimits
{
  /// About 300 bytes each. Records live for up to 20 minutes, so this is room
  /// for 250 orders a second at one instance.
  std::size_t orders = 300'000;
  /// Longest recorded answer of one order.
  std::size_t answerBytes = 64UL * 1024;
  /// All recorded answers together.
  std::size_t totalAnswerBytes = 48UL * 1024 * 1024;
};

/// What the home of an order knows about it, which is the only thing callers
/// may be told. Every claim is recorded here before it is reported, so that a
/// duplicate gets the same claim again.
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
    Digest body{};
    State state = State::InFlight;
    /// The verdict; meaningful unless in flight. A Done whose answer is not
    /// kept has the reason "answer_lost".
    Outcome outcome;
    std::vector<Chunk> answer;
    bool isAttemptOutstanding = false;
    std::uint32_t attempts = 0;
    TimePoint keepUntil;
  };

  /// What to do with a request.
  enum class AdmitResult
  {
    /// First seen; recorded as in flight. The owner runs it.
    New,
    /// The same request is running.
    Joined,
    /// The verdict is in the record.
    Recorded,
    /// The identifier was used with another body.
    BodyMismatch,
    /// There is no room to record anything.
    Full,
  };

  explicit OrderLedger(OrderLedgerLimits limits = {});

  /// Takes a request; it is kept at least until `keepUntil`.
  AdmitResult admit(const std::string& id,
                    const Digest& body,
                    TimePoint keepUntil,
                    TimePoint now);
  /// Null if the identifier is not known.
  const Record* find(const std::string& id) const;

  /// Starts the next attempt and returns its number, from 1. Nothing if the
  /// order is not in flight, or if an attempt is outstanding.
  std::optional<std::uint32_t> beginAttempt(const std::string& id);
  /// It is proved that the outstanding attempt did not run and never will.
  void recordAttemptNotRun(const std::string& id);
  /// Records the verdict. The first one stands; returns the one that stands.
  /// NotRun while an attempt is outstanding is recorded as Unknown.
  Outcome finish(const std::string& id,
                 Outcome outcome,
                 std::vector<Chunk> answer);

  /// Removes an order in flight about which nobody was told anything, and which
  /// may be run again: an idempotent one that was cancelled.
  void removeInFlight(const std::string& id);

  /// Removes what need not be kept any longer.
  void expire(TimePoint now);

  std::size_t size() const { return mRecords.size(); }
  std::size_t inFlight() const { return mInFlight; }
  std::size_t answerBytes() const { return mAnswerBytes; }

private:
  using Records = std::map<Digest, Record>;

  void keepAnswer(const Digest& key, Record& record, std::vector<Chunk> answer);
  void dropAnswer(Record& record);

  OrderLedgerLimits mLimits;
  Records mRecords;
  std::set<std::pair<TimePoint, Digest>> mByTime;
  /// Orders with a recorded answer, in the order of recording.
  std::deque<Digest> mAnswers;
  std::size_t mAnswerBytes = 0;
  std::size_t mInFlight = 0;
};

} // namespace lentilrack::core
