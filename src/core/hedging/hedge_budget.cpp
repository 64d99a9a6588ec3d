#include "core/hedging/hedge_budget.h"

#include <algorithm>
#include <numeric>

namespace lentilrack::core {

std::int64_t
HedgeBudget::slotNumber(TimePoint time)
{
  return time.time_since_epoch() / kSlotTime;
}

HedgeBudget::Slot&
HedgeBudget::slotAt(std::int64_t number)
{
  auto& slot = mSlots[static_cast<std::size_t>(number) % mSlots.size()];
  if (slot.number < number) {
    slot = Slot{};
    slot.number = number;
  }
  return slot;
}

void
HedgeBudget::earn(PreciseMillis work, TimePoint now)
{
  auto& slot = slotAt(slotNumber(now));
  const PreciseMillis earned = mLimit * work;
  const auto repaid = std::min(mDebt, earned);
  mDebt -= repaid;
  if (earned > repaid) {
    slot.work += work * ((earned - repaid) / earned);
    slot.earned += earned - repaid;
  }
}

PreciseMillis
HedgeBudget::income(TimePoint now) const
{
  // The window's oldest slot may be partly outside the window, so it is left
  // out.
  const auto oldest = slotNumber(now) - kSlots + 1;
  PreciseMillis work{ 0 };
  PreciseMillis earned{ 0 };
  for (const auto& slot : mSlots) {
    if (slot.number >= oldest) {
      work += slot.work;
      earned += slot.earned;
    }
  }
  return std::min(earned, PreciseMillis(mLimit * work));
}

PreciseMillis
HedgeBudget::spent(TimePoint now) const
{
  const auto oldest = slotNumber(now) - kSlots;
  return std::accumulate(mSlots.begin(),
                         mSlots.end(),
                         PreciseMillis(0),
                         [&](PreciseMillis sum, const Slot& slot) {
                           return slot.number >= oldest ? sum + slot.spent
                                                        : sum;
                         });
}

PreciseMillis
HedgeBudget::available(TimePoint now) const
{
  return income(now) - spent(now) - mDebt;
}

std::optional<HedgeBudget::Reservation>
HedgeBudget::tryReserve(PreciseMillis expected, double random, TimePoint now)
{
  const auto total = income(now);
  const auto left = available(now);
  if (left <= PreciseMillis(0) || expected <= PreciseMillis(0)) {
    return std::nullopt;
  }
  const auto number = slotNumber(now);
  if (expected <= left) {
    slotAt(number).spent += expected;
    return Reservation{ expected, 1, number };
  }
  if (expected <= total) {
    return std::nullopt;
  }
  const double part = left / expected;
  slotAt(number).spent += left;
  if (random >= part) {
    return std::nullopt;
  }
  return Reservation{ expected, part, number };
}

void
HedgeBudget::settle(const Reservation& reservation, PreciseMillis done)
{
  if (done > reservation.expected) {
    mDebt += done - reservation.expected;
    return;
  }
  auto& slot =
    mSlots[static_cast<std::size_t>(reservation.slot) % mSlots.size()];
  // The reservation may have left the window already.
  if (slot.number == reservation.slot) {
    slot.spent -= reservation.part * (reservation.expected - done);
  }
}

} // namespace lentilrack::core
