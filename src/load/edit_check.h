#pragma once

#include "load/report.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace lentilrack::load {

/// An edit that the service accepted.
struct AcceptedEdit
{
  std::int64_t revision = 0;
  /// Version of the row that the operator had seen.
  std::int64_t seenVersion = 0;
  std::int64_t weight = 0;
};

/// Checks that no accepted edit was lost, reverted or made blindly. Kept apart
/// from the network, so that a test can show that it catches each of these.
class EditCheck
{
public:
  void recordAccepted(const std::string& row, AcceptedEdit edit);
  /// An edit of the row had no clear outcome; the row's chain may have a gap.
  void recordUncertain(const std::string& row) { mUncertain.insert(row); }

  /// The row as an instance has it in force at the end.
  void checkFinalRow(const std::string& row,
                     std::int64_t version,
                     std::int64_t weight,
                     Report& report) const;
  /// Every accepted edit must have seen the one accepted before it.
  void checkChains(Report& report) const;

private:
  /// By row and revision.
  std::map<std::string, std::map<std::int64_t, AcceptedEdit>> mRows;
  std::set<std::string> mUncertain;
  std::set<std::string> mCollisions;
};

} // namespace lentilrack::load
