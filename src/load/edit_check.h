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
  /// Version of the row on which the operator based the edit.
  std::int64_t seenVersion = 0;
  std::int64_t weight = 0;
};

/// Checks that no accepted edit was lost or reverted, and that each was based
/// on the latest version of its row. Does no I/O, so that unit tests can verify
/// that it detects each violation.
class EditCheck
{
public:
  /// Records an accepted edit of the row.
  void recordAccepted(const std::string& row, AcceptedEdit edit);
  /// Records that the outcome of an edit is unknown. The edits recorded for the
  /// row may then be incomplete; only shared revisions are still reported.
  void recordUncertain(const std::string& row) { mUncertainRows.insert(row); }

  /// Checks that the row in force at an instance after the run is the last
  /// accepted edit.
  void checkFinalRow(const std::string& row,
                     std::int64_t version,
                     std::int64_t weight,
                     Report& report) const;
  /// Checks that each accepted edit was based on the accepted edit before it
  /// and that no two edits of a row have the same revision.
  void checkEditSequences(Report& report) const;

private:
  /// Accepted edits by row and revision.
  std::map<std::string, std::map<std::int64_t, AcceptedEdit>> mEdits;
  std::set<std::string> mUncertainRows;
  std::set<std::string> mRowsWithSharedRevisions;
};

} // namespace lentilrack::load
