#include "core/edit_transaction.h"

#include <fmt/format.h>

namespace lentilrack::core {

EditTransaction::EditTransaction(Edit edit, std::int64_t minRevision)
  : mEdit(std::move(edit))
  , mMinRevision(minRevision)
{
}

void
EditTransaction::readDone(const Table& table, std::int64_t keyRevision)
{
  const bool isOlderThanWrite =
    mPendingWrite && keyRevision < mPendingWrite->expectedKeyRevision;
  if (table.revision < mMinRevision || isOlderThanWrite) {
    retryReadOrGiveUp(
      fmt::format("the key-value service holds revision {}, but "
                  "revision {} was accepted",
                  table.revision,
                  mMinRevision));
    return;
  }
  mFailedReads = 0;
  mMinRevision = table.revision;
  if (const auto revision = acceptedRevision(table, mEdit.id)) {
    mNextAction = EditOutcome(EditAccepted{ *revision, table });
    return;
  }
  if (mPendingWrite && keyRevision > mPendingWrite->expectedKeyRevision) {
    // The key's revision is later than the one that the pending write expects,
    // so the write can no longer take effect. The table does not list its edit
    // id, so the write has not taken effect before either, unless so many edits
    // followed that the id was dropped from the list.
    const auto edits = table.revision - mPendingWrite->tableRevision;
    if (edits >= static_cast<std::int64_t>(TableLimits::kRecentEdits)) {
      giveUp("too many later edits to tell whether the write took effect");
      return;
    }
    mPendingWrite.reset();
  }
  applyToTable(table, keyRevision);
}

void
EditTransaction::applyToTable(const Table& table, std::int64_t keyRevision)
{
  auto result = applyEdit(table, mEdit);
  if (auto* applied = std::get_if<Applied>(&result)) {
    if (mWrites == kMaxWrites) {
      giveUp("too many writes conflicted with other edits");
      return;
    }
    ++mWrites;
    mNextAction = Write{ std::move(applied->table), keyRevision };
  } else if (auto* conflict = std::get_if<EditConflict>(&result)) {
    mNextAction = EditOutcome(std::move(*conflict));
  } else if (auto* invalid = std::get_if<EditInvalid>(&result)) {
    mNextAction = EditOutcome(std::move(*invalid));
  }
}

void
EditTransaction::readFailed(std::string reason)
{
  retryReadOrGiveUp(std::move(reason));
}

void
EditTransaction::readMissing()
{
  giveUp("the key-value service holds no table; see lentilrackctl bootstrap");
}

void
EditTransaction::writeDone()
{
  auto table = std::move(std::get<Write>(mNextAction).table);
  const auto revision = table.revision;
  mNextAction = EditOutcome(EditAccepted{ revision, std::move(table) });
}

void
EditTransaction::writeConflict()
{
  mNextAction = Read{};
}

void
EditTransaction::writeUnknown()
{
  const auto& write = std::get<Write>(mNextAction);
  mPendingWrite =
    PendingWrite{ write.expectedKeyRevision, write.table.revision };
  mNextAction = Read{};
}

void
EditTransaction::writeFailed(std::string reason)
{
  giveUp(std::move(reason));
}

void
EditTransaction::retryReadOrGiveUp(std::string reason)
{
  const int maxFailedReads =
    mPendingWrite ? kMaxFailedReadsAfterWrite : kMaxFailedReads;
  if (++mFailedReads < maxFailedReads) {
    mNextAction = Read{};
    return;
  }
  giveUp(std::move(reason));
}

void
EditTransaction::giveUp(std::string reason)
{
  if (mPendingWrite) {
    mNextAction = EditOutcome(EditUnknown{ std::move(reason) });
  } else {
    mNextAction = EditOutcome(EditUnavailable{ std::move(reason) });
  }
}

} // namespace lentilrack::core
