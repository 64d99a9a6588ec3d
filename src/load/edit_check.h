#pragma once

#include "load/report.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace lentilrack::load {

/// An edit of a table row that the service accepted.
struct AcceptedEdit
{
  std::int64_t revision = 0;
  /// Version of the row that the operator read before the edit.
  std::int64_t seenVersion = 0;
  std::int64_t weight = 0;
};

/// Checks that no accepted edit was lost or reverted, and that each was based
/// on the latest version of its row. Does no I/O, so that unit tests can verify
/// that it detects each violation.
class EditCheck
{
public:
  /// Records an accepted edit of the row. checkEditSequences() reports a
  /// violation if the row has another edit with the same revision.
  void recordAccepted(const std::string& row, AcceptedEdit edit);
  /// Records that an edit of the row may or may not have been accepted. The
  /// recorded edits may then lack one, so only shared revisions of the row are
  /// still reported as violations.
  void recordUncertain(const std::string& row) { mUncertainRows.insert(row); }

  /// Checks that the row that is in force at an instance after the run is the
  /// last accepted edit. Checks nothing if the row has no accepted edit or an
  /// edit with unknown outcome.
  void checkFinalRow(const std::string& row,
                     std::int64_t version,
                     std::int64_t weight,
                     Report& report) const;
  /// Checks for each row that every accepted edit was based on the one accepted
  /// before it, and that no two edits have the same revision.
  void checkEditSequences(Report& report) const;

private:
  /// Accepted edits by row and revision.
  std::map<std::string, std::map<std::int64_t, AcceptedEdit>> mEdits;
  std::set<std::string> mUncertainRows;
  std::set<std::string> mRowsWithSharedRevisions;
};

} // namespace lentilrack::load
