#pragma once

#include "core/table_edit.h"

namespace lentilrack::core {

struct EditAccepted
{
  std::int64_t revision = 0;
  /// The table with the edit, which may be newer than `revision`.
  Table table;
};

/// The edit is not in force and never will be.
struct EditUnavailable
{
  std::string reason;
};

/// Nobody can say whether the edit is in force. The same edit id may be sent
/// again; it is applied at most once.
struct EditUnknown
{
  std::string reason;
};

using EditOutcome = std::variant<EditAccepted,
                                 EditConflict,
                                 EditInvalid,
                                 EditUnavailable,
                                 EditUnknown>;

/// Decides the steps of one edit against a key with compare-and-swap: read,
/// apply, write; again if another edit came first. While a write whose reply
/// was lost may still take effect, the edit is not reported as refused.
class EditTransaction
{
public:
  /// Reads that fail or are too old, one after the other, before it gives up.
  static constexpr int kMaxFailedReads = 2;
  /// The same while a write may have taken effect. Higher, since the answer
  /// would be "unknown".
  static constexpr int kMaxFailedReadsAfterWrite = 8;
  /// Writes that meet another edit. More than the operators that could ever
  /// edit at once: each of them wins one round.
  static constexpr int kMaxWrites = 40;

  struct Read
  {};
  struct Write
  {
    Table table;
    /// Revision that the key must have.
    std::int64_t expectedKeyRevision = 0;
  };
  using Action = std::variant<Read, Write, EditOutcome>;

  /// `minRevision` is the highest table revision known to be accepted: a table with
  /// a lower one is an old copy, and an edit of it would never be in force.
  EditTransaction(Edit edit, std::int64_t minRevision);

  /// What to do now. Each Read and Write is answered by one of the calls below.
  const Action& nextAction() const { return mNextAction; }
  bool isFinished() const { return std::holds_alternative<EditOutcome>(mNextAction); }
  /// The highest table revision seen. A later run with the same edit id takes
  /// it as its minRevision, so that an old copy does not refuse what a write of this
  /// run may still put in force.
  std::int64_t minRevision() const { return mMinRevision; }

  void readDone(const Table& table, std::int64_t keyRevision);
  void readFailed(std::string reason);
  /// The service has no table.
  void readMissing();

  void writeDone();
  void writeConflict();
  /// The write may or may not have taken effect, now or later.
  void writeUnknown();
  /// The write certainly has no effect.
  void writeFailed(std::string reason);

private:
  /// A write without a reply.
  struct PendingWrite
  {
    std::int64_t expectedKeyRevision = 0;
    std::int64_t tableRevision = 0;
  };

  void giveUp(std::string reason);
  void retryRead(std::string reason);
  void decide(const Table& table, std::int64_t keyRevision);

  Edit mEdit;
  std::int64_t mMinRevision;
  Action mNextAction = Read{};
  std::optional<PendingWrite> mPendingWrite;
  int mFailedReads = 0;
  int mWrites = 0;
};

} // namespace lentilrack::core
