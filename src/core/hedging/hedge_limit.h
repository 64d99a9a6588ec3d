#pragma once

#include <optional>
#include <string>

namespace lentilrack::core {

/// The limit on extra work by second attempts (hedges), in percent of the work
/// of a service. A limit in the store takes precedence over the one of the
/// command line, so that operators can change it for the whole fleet without a
/// restart.
class HedgeLimit
{
public:
  explicit HedgeLimit(std::optional<double> commandLinePercent)
    : mCommandLine(commandLinePercent)
  {
  }

  /// Returns whether the value is a valid limit.
  static bool isValid(double percent);

  /// Applies the value of the store's key, `{"limit_percent": 5}`. Returns
  /// false if it is malformed; the limit in force then stays, so that a typing
  /// error does not remove a limit.
  bool applyStored(const std::string& value);
  /// Records that the store has no limit.
  void removeStored() { mStored.reset(); }
  /// Returns the limit in force; nothing if none was set.
  std::optional<double> percent() const
  {
    return mStored ? mStored : mCommandLine;
  }

private:
  std::optional<double> mCommandLine;
  std::optional<double> mStored;
};

} // namespace lentilrack::core
