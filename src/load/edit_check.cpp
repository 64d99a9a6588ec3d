#include "load/edit_check.h"

namespace lentilrack::load {

void
EditCheck::recordAccepted(const std::string& row, AcceptedEdit edit)
{
  if (!mEdits[row].emplace(edit.revision, edit).second) {
    mRowsWithSharedRevisions.insert(row);
  }
}

void
EditCheck::checkFinalRow(const std::string& row,
                         std::int64_t version,
                         std::int64_t weight,
                         Report& report) const
{
  const auto found = mEdits.find(row);
  if (found == mEdits.end() || mUncertainRows.contains(row)) {
    return;
  }
  const auto& last = found->second.rbegin()->second;
  if (version != last.revision || weight != last.weight) {
    report.addViolation("accepted edit of row " + row + " at revision " +
                        std::to_string(last.revision) + " is not in force");
  }
}

void
EditCheck::checkEditSequences(Report& report) const
{
  for (const auto& row : mRowsWithSharedRevisions) {
    report.addViolation("two edits of row " + row + " have the same revision");
  }
  for (const auto& [row, edits] : mEdits) {
    const AcceptedEdit* previous = nullptr;
    for (const auto& [revision, edit] : edits) {
      const bool hasWrongBase = previous != nullptr &&
                                edit.seenVersion != previous->revision &&
                                !mUncertainRows.contains(row);
      if (hasWrongBase) {
        report.addViolation("edit of row " + row + " at revision " +
                            std::to_string(revision) +
                            " was not based on the edit before it");
      }
      previous = &edit;
    }
  }
}

} // namespace lentilrack::load
