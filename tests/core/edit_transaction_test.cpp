#include "core/edit_transaction.h"

#include "core/edit_race.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

namespace {

using testing::EditRace;
using testing::RaceDefect;
using testing::row;
using testing::smallTable;

constexpr int kRaces = 400;

const Edit kEdit{ "edit", SetRow{ row("carl", "*"), 1 } };

template<typename Outcome>
bool
hasOutcome(const EditTransaction& transaction)
{
  const auto* outcome = std::get_if<EditOutcome>(&transaction.nextAction());
  return outcome != nullptr && std::holds_alternative<Outcome>(*outcome);
}

bool
needsWrite(const EditTransaction& transaction)
{
  return std::holds_alternative<EditTransaction::Write>(
    transaction.nextAction());
}

/// Returns whether any of the races violates a guarantee.
bool
anyRaceHasViolation(RaceDefect defect)
{
  for (int seed = 0; seed < kRaces; ++seed) {
    if (EditRace(seed, defect).run()) {
      return true;
    }
  }
  return false;
}

} // namespace

// Guards against losing or reverting an accepted edit and against applying a
// refused one when the store loses or delays requests and replies.
TEST(EditTransactionTest, RacesKeepAcceptedEditsAndNoRefusedOnes)
{
  std::size_t accepted = 0;
  std::size_t refused = 0;
  for (int seed = 0; seed < kRaces; ++seed) {
    EditRace race(seed, RaceDefect::None);
    const auto violation = race.run();
    ASSERT_EQ(violation, std::nullopt) << "seed " << seed;
    accepted += race.accepted();
    refused += race.refused();
  }
  // The races prove something only if, on average, each of them accepts and
  // refuses more than one edit.
  EXPECT_GT(accepted, kRaces);
  EXPECT_GT(refused, kRaces);
}

// The following tests show that the races detect incorrect handling of edits.
TEST(EditTransactionTest, RacesDetectWritesWithoutComparison)
{
  EXPECT_TRUE(anyRaceHasViolation(RaceDefect::BlindWrite));
}

TEST(EditTransactionTest, RacesDetectRefusalsWithoutReadingBack)
{
  EXPECT_TRUE(anyRaceHasViolation(RaceDefect::NoReadBack));
}

TEST(EditTransactionTest, RacesDetectForgottenWrites)
{
  EXPECT_TRUE(anyRaceHasViolation(RaceDefect::ForgetsLostWrite));
}

// Guards against reporting a refusal while the write may still take effect.
TEST(EditTransactionTest, OutcomeIsUnknownIfReadingBackFails)
{
  EditTransaction transaction(kEdit, 0);
  transaction.readDone(smallTable(), 10);
  ASSERT_TRUE(needsWrite(transaction));
  transaction.writeUnknown();
  while (!transaction.isFinished()) {
    transaction.readFailed("down");
  }
  EXPECT_TRUE(hasOutcome<EditUnknown>(transaction));
}

// Guards against ending with an unknown outcome although the store replies
// again: repeating the write shows whether the first write took effect.
TEST(EditTransactionTest, LostWriteIsRepeatedIfTheKeyIsUnchanged)
{
  EditTransaction transaction(kEdit, 0);
  transaction.readDone(smallTable(), 10);
  transaction.writeUnknown();
  transaction.readDone(smallTable(), 10);
  ASSERT_TRUE(needsWrite(transaction));
  EXPECT_EQ(std::get<EditTransaction::Write>(transaction.nextAction())
              .expectedKeyRevision,
            10);
  transaction.writeDone();
  EXPECT_TRUE(hasOutcome<EditAccepted>(transaction));
}

// Guards against reporting a refusal when the edit id may have been dropped
// from the list of the latest edits.
TEST(EditTransactionTest, OutcomeIsUnknownAfterManyEditsSinceALostReply)
{
  auto laterTable = smallTable();
  EditTransaction transaction(kEdit, 0);
  transaction.readDone(laterTable, 10);
  transaction.writeUnknown();
  laterTable.revision +=
    1 + static_cast<std::int64_t>(TableLimits::kRecentEdits);
  transaction.readDone(laterTable, 400);
  EXPECT_TRUE(hasOutcome<EditUnknown>(transaction));
}

// Guards against editing a table that is older than the current one, for
// instance after the service was restored with old data: the edit would be
// accepted but never take effect.
TEST(EditTransactionTest, OldTableInTheServiceIsNotEdited)
{
  EditTransaction transaction(kEdit, 5);
  while (!transaction.isFinished()) {
    transaction.readDone(smallTable(), 10);
  }
  EXPECT_TRUE(hasOutcome<EditUnavailable>(transaction));
}

TEST(EditTransactionTest, MissingTableAndFailuresAreUnavailable)
{
  EditTransaction missing(kEdit, 0);
  missing.readMissing();
  EXPECT_TRUE(hasOutcome<EditUnavailable>(missing));
  EditTransaction failing(kEdit, 0);
  while (!failing.isFinished()) {
    failing.readFailed("down");
  }
  EXPECT_TRUE(hasOutcome<EditUnavailable>(failing));
  EditTransaction notSent(kEdit, 0);
  notSent.readDone(smallTable(), 10);
  notSent.writeFailed("down");
  EXPECT_TRUE(hasOutcome<EditUnavailable>(notSent));
}

} // namespace lentilrack::core
