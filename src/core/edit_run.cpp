#include "core/edit_run.h"

#include <fmt/format.h>

namespace lentilrack::core {

EditRun::EditRun(Edit edit, std::int64_t floor)
  : mEdit(std::move(edit))
  , mFloor(floor)
{
}

void
EditRun::readDone(const Table& table, std::int64_t keyRevision)
{
  const bool isOlderThanWrite = mPending && keyRevision < mPending->expect;
  if (table.revision < mFloor || isOlderThanWrite) {
    retryRead(fmt::format("the key-value service holds revision {}, but "
                          "revision {} was accepted",
                          table.revision,
                          mFloor));
    return;
  }
  mFailedReads = 0;
  mFloor = table.revision;
  if (const auto revision = acceptedRevision(table, mEdit.id)) {
    mStep = EditOutcome(EditAccepted{ *revision, table });
    return;
  }
  if (mPending && keyRevision > mPending->expect) {
    // The key has moved on, so the write can no longer take effect. It took
    // none before, unless its identifier has left the list since.
    const auto edits = table.revision - mPending->tableRevision;
    if (edits >= static_cast<std::int64_t>(TableLimits::kRecentEdits)) {
      giveUp("too many edits since the write");
      return;
    }
    mPending.reset();
  }
  decide(table, keyRevision);
}

void
EditRun::decide(const Table& table, std::int64_t keyRevision)
{
  auto result = applyEdit(table, mEdit);
  if (auto* applied = std::get_if<Applied>(&result)) {
    if (mWrites == kMaxWrites) {
      giveUp("too many edits at once");
      return;
    }
    ++mWrites;
    mStep = Write{ std::move(applied->table), keyRevision };
  } else if (auto* conflict = std::get_if<EditConflict>(&result)) {
    mStep = EditOutcome(std::move(*conflict));
  } else if (auto* invalid = std::get_if<EditInvalid>(&result)) {
    mStep = EditOutcome(std::move(*invalid));
  }
}

void
EditRun::readFailed(std::string reason)
{
  retryRead(std::move(reason));
}

void
EditRun::readMissing()
{
  giveUp("the key-value service holds no table; see lentilrackctl bootstrap");
}

void
EditRun::writeDone()
{
  auto table = std::move(std::get<Write>(mStep).table);
  const auto revision = table.revision;
  mStep = EditOutcome(EditAccepted{ revision, std::move(table) });
}

void
EditRun::writeConflict()
{
  mStep = Read{};
}

void
EditRun::writeUnknown()
{
  const auto& write = std::get<Write>(mStep);
  mPending = Pending{ write.expect, write.table.revision };
  mStep = Read{};
}

void
EditRun::writeFailed(std::string reason)
{
  giveUp(std::move(reason));
}

void
EditRun::retryRead(std::string reason)
{
  const int most = mPending ? kMaxFailedReadsBack : kMaxFailedReads;
  if (++mFailedReads < most) {
    mStep = Read{};
    return;
  }
  giveUp(std::move(reason));
}

void
EditRun::giveUp(std::string reason)
{
  if (mPending) {
    mStep = EditOutcome(EditUnknown{ std::move(reason) });
  } else {
    mStep = EditOutcome(EditUnavailable{ std::move(reason) });
  }
}

} // namespace lentilrack::core
