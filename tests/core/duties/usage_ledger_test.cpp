#include "core/duties/usage_counter.h"
#include "core/duties/usage_ledger.h"
#include "core/duties/wall_clock.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

namespace {

const UsageWindows kWindows;
/// Beginning of window 100.
constexpr Millis kStart{ 500'000 };
constexpr Millis kCollected{ 7'500 };

UsageLedger
ledgerWithDuty()
{
  UsageLedger ledger(kWindows, {});
  ledger.beginDuty();
  ledger.setStored(StoredUsage{ 99, {} }, kStart, kStart);
  return ledger;
}

} // namespace

// Guards against requests that move to another window because the system clock
// is set while the process runs.
TEST(WallClock, JumpOfTheSystemClockMovesNoCount)
{
  WallClock clock;
  clock.synchronise(Millis(1'000), Millis(501'000));
  EXPECT_TRUE(clock.synchronise(Millis(2'000), Millis(532'000)));
  EXPECT_EQ(clock.systemClockLead(), Millis(29'999));
  EXPECT_LE(clock.unixTime(Millis(2'000)), Millis(502'001));
  EXPECT_TRUE(clock.synchronise(Millis(3'000), Millis(473'000)));
  EXPECT_NEAR(
    static_cast<double>(clock.unixTime(Millis(3'000)).count()), 503'000, 1);
}

// Guards against a time that leaves the system clock as the oscillator drifts.
TEST(WallClock, FollowsTheDriftOfTheSystemClock)
{
  WallClock clock;
  clock.synchronise(Millis(0), Millis(500'000));
  for (int second = 1; second <= 3'600; ++second) {
    const Millis sinceBoot{ 1'000 * second };
    const Millis drift{ second / 10 };
    EXPECT_FALSE(clock.synchronise(sinceBoot, kStart + sinceBoot + drift));
  }
  EXPECT_EQ(clock.systemClockLead(), Millis(0));
}

// Guards against counts of a window that grow after the window was reported,
// and against windows that are kept for ever.
TEST(UsageCounter, ForgetsWindowsThatAreTooLate)
{
  UsageCounter counter(kWindows);
  EXPECT_TRUE(counter.record("a", kStart, kStart));
  EXPECT_TRUE(counter.record("a", kStart, kStart + Millis(14'999)));
  EXPECT_FALSE(counter.record("a", kStart, kStart + Millis(15'000)));
  EXPECT_EQ(counter.windows().at(100).counts.at("a"), 2);
  counter.dropOverdue(kStart + Millis(15'000));
  EXPECT_TRUE(counter.windows().empty());
}

// Guards against messages that are counted twice when they are repeated or
// overtake each other, and against a process that loses its count by a restart.
TEST(UsageLedger, RepeatedAndOldCountsDoNoHarm)
{
  auto ledger = ledgerWithDuty();
  ledger.merge("x/1", 100, { { "a", 3 } }, kStart);
  ledger.merge("x/1", 100, { { "a", 5 }, { "b", 1 } }, kStart);
  ledger.merge("x/1", 100, { { "a", 3 } }, kStart);
  ledger.merge("x/2", 100, { { "a", 2 } }, kStart);
  const UsageCounts expected{ { "a", 7 }, { "b", 1 } };
  EXPECT_EQ(ledger.total(100), expected);
  EXPECT_FALSE(ledger.merge("x/1", 85, { { "a", 1 } }, kStart));
  EXPECT_FALSE(ledger.merge("x/1", 102, { { "a", 1 } }, kStart));
}

// Guards against windows without requests that are not reported, and against
// reports before the counts have arrived.
TEST(UsageLedger, EmptyWindowIsReportedToo)
{
  auto ledger = ledgerWithDuty();
  EXPECT_FALSE(ledger.nextRecord(kStart + kCollected - Millis(1)));
  const auto record = ledger.nextRecord(kStart + kCollected);
  ASSERT_TRUE(record);
  EXPECT_EQ(record->lastWindow, 100);
  EXPECT_EQ(record->reports.at(100), UsageCounts{});
}

// Guards against a report that is sent before it is stored, and against counts
// that change after that.
TEST(UsageLedger, StoredReportIsRepeatedUnchanged)
{
  auto ledger = ledgerWithDuty();
  auto now = kStart + kCollected;
  ledger.merge("x/1", 100, { { "a", 3 } }, now);
  EXPECT_FALSE(ledger.nextReport(now));
  ledger.recordStored(*ledger.nextRecord(now));
  ledger.merge("x/1", 100, { { "a", 4 } }, now);
  const UsageCounts stored{ { "a", 3 } };
  ASSERT_EQ(ledger.nextReport(now)->second, stored);
  ledger.recordFailed(now);
  EXPECT_FALSE(ledger.nextReport(now));
  now += Millis(5'000);
  ledger.recordStored(*ledger.nextRecord(now));
  // The oldest window comes first.
  EXPECT_EQ(ledger.nextReport(now)->first, 100);
  EXPECT_EQ(ledger.nextReport(now)->second, stored);
  ledger.recordReceived(100);
  EXPECT_EQ(ledger.nextReport(now)->first, 101);
  EXPECT_EQ(ledger.takeMissed(), 0);
}

// Guards against reports that arrive late, and against overdue windows that
// nobody hears of.
TEST(UsageLedger, OverdueWindowsAreDroppedAndCounted)
{
  auto ledger = ledgerWithDuty();
  ledger.recordStored(*ledger.nextRecord(kStart + kCollected));
  const auto late = kStart + Millis(32'000);
  EXPECT_FALSE(ledger.nextReport(late));
  const auto record = ledger.nextRecord(late);
  ASSERT_TRUE(record);
  EXPECT_EQ(record->reports.begin()->first, 104);
  ledger.recordStored(*record);
  EXPECT_EQ(ledger.takeMissed(), 4);
}

// Guards against a new holder that reports what the former one has stored with
// counts of its own, or reports before it knows what is stored.
TEST(UsageLedger, NewHolderRepeatsWhatIsStored)
{
  UsageLedger ledger(kWindows, {});
  const auto now = kStart + kCollected;
  ledger.merge("x/1", 100, { { "a", 9 } }, now);
  ledger.beginDuty();
  EXPECT_TRUE(ledger.mustRead());
  EXPECT_FALSE(ledger.nextRecord(now));
  const StoredUsage stored{ 100, { { 100, { { "a", 8 } } } } };
  ledger.setStored(stored, kStart, now);
  EXPECT_FALSE(ledger.nextRecord(now));
  EXPECT_EQ(ledger.nextReport(now)->second, stored.reports.at(100));
  ledger.markUnknown();
  EXPECT_FALSE(ledger.nextRecord(now + Millis(5'000)));
  // The former holder may have learned that its report was received.
  EXPECT_FALSE(ledger.nextReport(now + Millis(10'000)));
  EXPECT_EQ(ledger.takeMissed(), 0);
}

} // namespace lentilrack::core
