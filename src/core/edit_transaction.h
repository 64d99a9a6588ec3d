#pragma once

#include "core/table_edit.h"

namespace lentilrack::core {

/// The edit is in the table.
struct EditAccepted
{
  /// Revision that the edit created.
  std::int64_t revision = 0;
  /// A table that contains the edit; its revision may be higher than
  /// `revision`.
  Table table;
};

/// The edit was not applied and never will be, for example because the
/// key-value service failed or has no table.
struct EditUnavailable
{
  std::string reason;
};

/// It is unknown whether the edit was applied. It may be sent again with the
/// same edit id, and is then applied at most once.
struct EditUnknown
{
  std::string reason;
};

using EditOutcome = std::variant<EditAccepted,
                                 EditConflict,
                                 EditInvalid,
                                 EditUnavailable,
                                 EditUnknown>;

/// State machine that applies one edit to a table under a key with
/// compare-and-swap: it reads the table, applies the edit, writes the result,
/// and starts again if another edit was written first. While a write whose
/// reply was lost may still take effect, the transaction does not report the
/// edit as refused.
class EditTransaction
{
public:
  /// Number of consecutive reads that fail or return an old table after which
  /// the transaction gives up.
  static constexpr int kMaxFailedReads = 2;
  /// Replaces kMaxFailedReads once a write may have taken effect. It is higher
  /// because giving up then leaves the outcome unknown.
  static constexpr int kMaxFailedReadsAfterWrite = 8;
  /// Maximum number of writes. When several operators edit at the same time,
  /// only the first write succeeds and the others must write again. An edit may
  /// need as many writes as there are such operators, so the limit is higher
  /// than their number can be.
  static constexpr int kMaxWrites = 40;

  /// Read the key.
  struct Read
  {};
  /// Write the table to the key.
  struct Write
  {
    Table table;
    /// Revision that the key must have.
    std::int64_t expectedKeyRevision = 0;
  };
  using Action = std::variant<Read, Write, EditOutcome>;

  /// `minRevision` is the highest table revision known to be accepted. A table
  /// with a lower revision is outdated, and an edit of it would never take
  /// effect.
  EditTransaction(Edit edit, std::int64_t minRevision);

  /// Returns what to do next: the outcome, or a read or write whose result must
  /// be passed to one of the functions below.
  const Action& nextAction() const { return mNextAction; }
  /// Whether nextAction() is the outcome.
  bool isFinished() const
  {
    return std::holds_alternative<EditOutcome>(mNextAction);
  }
  /// Returns the highest table revision read so far, but at least the
  /// `minRevision` given to the constructor. A later transaction with the same
  /// edit id must be given this revision. Otherwise it could read an outdated
  /// table and refuse the edit, although a write of this transaction may still
  /// apply it.
  std::int64_t minRevision() const { return mMinRevision; }

  /// Records that the read returned a table, at this revision of the key.
  void readDone(const Table& table, std::int64_t keyRevision);
  /// Records that the read failed. The next action is another read, unless too
  /// many have failed.
  void readFailed(std::string reason);
  /// Records that the key does not exist.
  void readMissing();

  /// Records that the write succeeded.
  void writeDone();
  /// Records that the write was rejected because the key had another revision
  /// than expected.
  void writeConflict();
  /// Records that it is unknown whether the write has taken effect or still
  /// will.
  void writeUnknown();
  /// Records that the write did not take effect and never will.
  void writeFailed(std::string reason);

private:
  /// A write without a reply.
  struct PendingWrite
  {
    std::int64_t expectedKeyRevision = 0;
    std::int64_t tableRevision = 0;
  };

  /// Ends with EditUnknown if a write may take effect, or else EditUnavailable.
  void giveUp(std::string reason);
  void retryReadOrGiveUp(std::string reason);
  void applyToTable(const Table& table, std::int64_t keyRevision);

  Edit mEdit;
  std::int64_t mMinRevision;
  Action mNextAction = Read{};
  /// The write that may still take effect, if any.
  std::optional<PendingWrite> mPendingWrite;
  /// Number of consecutive reads that failed or returned an old table.
  int mFailedReads = 0;
  /// Number of writes so far.
  int mWrites = 0;
};

} // namespace lentilrack::core
