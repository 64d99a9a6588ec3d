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
endsAs(const EditTransaction& run)
{
  const auto* outcome = std::get_if<EditOutcome>(&run.nextAction());
  return outcome != nullptr && std::holds_alternative<Outcome>(*outcome);
}

bool
wantsWrite(const EditTransaction& run)
{
  return std::holds_alternative<EditTransaction::Write>(run.nextAction());
}

/// Whether any of the races breaks a rule.
bool
someRaceBreaks(RaceDefect defect)
{
  for (int seed = 0; seed < kRaces; ++seed) {
    if (EditRace(seed, defect).run()) {
      return true;
    }
  }
  return false;
}

} // namespace

// Guards against an accepted edit that is lost or reverted and a refused one
// that is in force, whatever the store does with requests and replies.
TEST(EditTransactionTest, RacesLoseNoAcceptedAndKeepNoRefusedEdit)
{
  std::size_t accepted = 0;
  std::size_t refused = 0;
  for (int seed = 0; seed < kRaces; ++seed) {
    EditRace race(seed, RaceDefect::None);
    const auto broken = race.run();
    ASSERT_EQ(broken, std::nullopt) << "seed " << seed;
    accepted += race.accepted();
    refused += race.refused();
  }
  // A race in which nearly nothing is accepted or refused shows nothing.
  EXPECT_GT(accepted, kRaces);
  EXPECT_GT(refused, kRaces);
}

// Show that the check above can fail.
TEST(EditTransactionTest, RacesCatchBlindWrites)
{
  EXPECT_TRUE(someRaceBreaks(RaceDefect::BlindWrite));
}

TEST(EditTransactionTest, RacesCatchRefusalsWithoutReadingBack)
{
  EXPECT_TRUE(someRaceBreaks(RaceDefect::NoReadBack));
}

TEST(EditTransactionTest, RacesCatchForgottenWrites)
{
  EXPECT_TRUE(someRaceBreaks(RaceDefect::ForgetsLostWrite));
}

// Guards against "refused" while the write may still take effect.
TEST(EditTransactionTest, WithoutReadingBackTheOutcomeIsUnknown)
{
  EditTransaction run(kEdit, 0);
  run.readDone(smallTable(), 10);
  ASSERT_TRUE(wantsWrite(run));
  run.writeUnknown();
  while (!run.isFinished()) {
    run.readFailed("down");
  }
  EXPECT_TRUE(endsAs<EditUnknown>(run));
}

// Guards against an outcome that stays unknown although the store answers: the
// same write again settles whether the first one took effect.
TEST(EditTransactionTest, UnchangedKeyAfterALostReplyIsWrittenAgain)
{
  EditTransaction run(kEdit, 0);
  run.readDone(smallTable(), 10);
  run.writeUnknown();
  run.readDone(smallTable(), 10);
  ASSERT_TRUE(wantsWrite(run));
  EXPECT_EQ(std::get<EditTransaction::Write>(run.nextAction()).expectedKeyRevision, 10);
  run.writeDone();
  EXPECT_TRUE(endsAs<EditAccepted>(run));
}

// Guards against a refusal when the identifier has left the list of the latest
// edits.
TEST(EditTransactionTest, ManyEditsAfterALostReplyMakeTheOutcomeUnknown)
{
  auto later = smallTable();
  EditTransaction run(kEdit, 0);
  run.readDone(later, 10);
  run.writeUnknown();
  later.revision += 1 + static_cast<std::int64_t>(TableLimits::kRecentEdits);
  run.readDone(later, 400);
  EXPECT_TRUE(endsAs<EditUnknown>(run));
}

// Guards against an edit of a table that is older than the one in force, for
// instance after the service came back with old data: it would be accepted and
// never be in force.
TEST(EditTransactionTest, OldTableInTheServiceRefusesEdits)
{
  EditTransaction run(kEdit, 5);
  while (!run.isFinished()) {
    run.readDone(smallTable(), 10);
  }
  EXPECT_TRUE(endsAs<EditUnavailable>(run));
}

TEST(EditTransactionTest, MissingTableAndFailuresAreUnavailable)
{
  EditTransaction missing(kEdit, 0);
  missing.readMissing();
  EXPECT_TRUE(endsAs<EditUnavailable>(missing));
  EditTransaction failing(kEdit, 0);
  while (!failing.isFinished()) {
    failing.readFailed("down");
  }
  EXPECT_TRUE(endsAs<EditUnavailable>(failing));
  EditTransaction notSent(kEdit, 0);
  notSent.readDone(smallTable(), 10);
  notSent.writeFailed("down");
  EXPECT_TRUE(endsAs<EditUnavailable>(notSent));
}

} // namespace lentilrack::core
