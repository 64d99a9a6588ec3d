#pragma once

#include "core/hedging/duration_distribution.h"

#include <array>
#include <cstdint>
#include <optional>

namespace lentilrack::core {

/// Limits the extra work of second attempts (hedges) for one service to a share
/// of the work that this process has completed for it. If every process of a
/// fleet observes the limit over each window, so does the fleet, without any
/// messages between processes.
///
/// A new process starts without work and thus without a budget, so that
/// restarts add nothing to the fleet's extra work.
class HedgeBudget
{
public:
  /// Length of the windows over which the limit holds.
  static constexpr Millis kWindow{ 10'000 };

  /// Work that a second attempt was allowed to do.
  struct Reservation
  {
    PreciseMillis expected{ 0 };
    /// Part of the expected work that was charged; see tryReserve().
    double part = 1;
    std::int64_t slot = 0;
  };

  /// Sets the extra work as a share of the completed work. Work that is already
  /// completed counts with the lower one of the old and the new limit.
  void setLimit(double share) { mLimit = share; }
  double limit() const { return mLimit; }

  /// Adds completed work, in milliseconds of server time.
  void earn(PreciseMillis work, TimePoint now);
  /// Reserves the expected work of a second attempt. Returns nothing if the
  /// attempt would exceed the limit.
  ///
  /// A process that completes so little work that the whole window does not pay
  /// for one attempt gets it with the probability `available / expected`, which
  /// `random`, in [0, 1), decides. Its attempts then stay within the limit on
  /// average, and so do those of a fleet of such processes. A refusal uses up
  /// the budget too, since otherwise repeated questions would raise the
  /// probability.
  std::optional<Reservation> tryReserve(PreciseMillis expected,
                                        double random,
                                        TimePoint now);
  /// Replaces the expected work by the work that was done. The remainder is
  /// given back. Work beyond the expectation is charged in full, also if only a
  /// part of the expected work was: refusals have paid for the rest of the
  /// expectation, but not for the excess.
  void settle(const Reservation& reservation, PreciseMillis done);
  /// Returns the work that may be reserved now; negative if attempts did more
  /// work than expected.
  PreciseMillis available(TimePoint now) const;

private:
  static constexpr int kSlots = 20;
  static constexpr Millis kSlotTime{ kWindow / kSlots };

  /// Work in a slot of the window.
  struct Slot
  {
    std::int64_t number = -1;
    PreciseMillis work{ 0 };
    /// Share of `work` by the limit in force when it was completed.
    PreciseMillis earned{ 0 };
    PreciseMillis spent{ 0 };
  };

  static std::int64_t slotNumber(TimePoint time);
  Slot& slotAt(std::int64_t number);
  /// Returns the work that the completed work of the window pays for.
  PreciseMillis income(TimePoint now) const;
  PreciseMillis spent(TimePoint now) const;

  double mLimit = 0;
  /// Work beyond reservations that completed work has not paid for yet. It does
  /// not leave with the window, so that attempts which take longer than
  /// expected do not exceed the limit again and again.
  PreciseMillis mDebt{ 0 };
  /// One slot more than the window has, so that work is remembered until the
  /// whole window has passed.
  std::array<Slot, kSlots + 1> mSlots{};
};

} // namespace lentilrack::core
