#pragma once

#include "core/edit_transaction.h"
#include "core/table_fixture.h"

#include <pcg_random.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lentilrack::core::testing {

/// Deliberate defects in the handling of edits.
enum class RaceDefect
{
  None,
  /// The store writes without comparing the revision of the key.
  BlindWrite,
  /// An operator treats a lost reply to a write as a refusal.
  NoReadBack,
  /// After a lost reply, an operator reads the table again, but ignores that
  /// the write may still take effect.
  ForgetsLostWrite,
};

/// Simulates many operators who edit a few rows at the same time through a
/// key-value store. The store loses requests and replies, applies some writes
/// only after their sender has read the table again, and answers reads late,
/// out of order and sometimes from an old copy. All random choices derive from
/// the seed.
class EditRace
{
public:
  EditRace(std::uint64_t seed, RaceDefect defect)
    : mRandom(seed)
    , mDefect(defect)
  {
    mStoredTables.push_back(smallTable());
  }

  /// Runs the race. Returns the first violation, or nothing.
  std::optional<std::string> run()
  {
    for (int i = 0; i < kEdits; ++i) {
      start(newEdit(i));
    }
    while (!mActions.empty()) {
      const auto index = below(mActions.size());
      std::swap(mActions[index], mActions.back());
      const auto action = std::move(mActions.back());
      mActions.pop_back();
      action();
    }
    return check();
  }

  std::size_t accepted() const { return mAccepted.size(); }
  std::size_t refused() const { return mRefused.size(); }

private:
  static constexpr int kEdits = 24;
  static constexpr int kResends = 2;

  struct Operator
  {
    Edit edit;
    std::optional<EditTransaction> run;
    int remainingResends = kResends;
  };
  using OperatorPtr = std::shared_ptr<Operator>;

  std::size_t below(std::size_t bound)
  {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(mRandom);
  }
  bool chance(int percent) { return below(100) < std::size_t(percent); }

  const Table& current() const { return mStoredTables.back(); }
  std::int64_t keyRevision() const
  {
    return static_cast<std::int64_t>(mStoredTables.size());
  }

  Edit newEdit(int number)
  {
    // Operators often use an old table, so that many edits conflict.
    const RowKey key =
      chance(50) ? RowKey{ "carl", "*" } : RowKey{ "tina", "draft" };
    auto changed = row(key.first, key.second);
    changed.weight = 1 + number;
    const std::int64_t seen = chance(70) ? 1 : std::int64_t(2 + below(kEdits));
    const auto id = "edit-" + std::to_string(number);
    if (chance(25)) {
      return { id, RemoveRow{ key, seen } };
    }
    if (chance(25)) {
      const auto name = "guest-" + std::to_string(number);
      return { id, SetPrincipal{ principal(name, PrincipalRole::Caller), 0 } };
    }
    return { id, SetRow{ changed, chance(20) ? 0 : seen } };
  }

  void start(Edit edit)
  {
    auto editor = std::make_shared<Operator>();
    editor->edit = std::move(edit);
    editor->run.emplace(editor->edit, 1);
    schedule([this, editor] { performNextAction(editor); });
  }

  void schedule(std::function<void()> action)
  {
    mActions.push_back(std::move(action));
  }

  void performNextAction(const OperatorPtr& editor)
  {
    if (std::holds_alternative<EditTransaction::Read>(
          editor->run->nextAction())) {
      read(editor);
    } else if (std::holds_alternative<EditTransaction::Write>(
                 editor->run->nextAction())) {
      write(editor);
    } else {
      finish(editor);
    }
  }

  void scheduleReply(const OperatorPtr& editor,
                     std::function<void(EditTransaction&)> reply)
  {
    schedule([this, editor, reply = std::move(reply)] {
      reply(*editor->run);
      performNextAction(editor);
    });
  }

  void read(const OperatorPtr& editor)
  {
    if (chance(15)) {
      scheduleReply(editor,
                    [](EditTransaction& run) { run.readFailed("no answer"); });
      return;
    }
    schedule([this, editor] {
      // The store reads the table now; the reply arrives later.
      const auto age = chance(20) ? below(mStoredTables.size()) : 0;
      const auto index = mStoredTables.size() - 1 - age;
      auto table = mStoredTables[index];
      const auto revision = static_cast<std::int64_t>(index) + 1;
      scheduleReply(editor, [table, revision](EditTransaction& run) {
        run.readDone(table, revision);
      });
    });
  }

  /// Writes the table to the store if the key still has the expected revision.
  /// Returns whether the store accepted the write.
  bool store(const Table& table, std::int64_t expectedRevision)
  {
    if (mDefect != RaceDefect::BlindWrite &&
        expectedRevision != keyRevision()) {
      return false;
    }
    mStoredTables.push_back(table);
    return true;
  }

  void write(const OperatorPtr& editor)
  {
    const auto request =
      std::get<EditTransaction::Write>(editor->run->nextAction());
    if (chance(10)) {
      scheduleReply(editor,
                    [](EditTransaction& run) { run.writeFailed("not sent"); });
      return;
    }
    if (chance(30)) {
      // The reply is lost. The write takes effect before or after its sender
      // gives up, or never.
      if (chance(70)) {
        schedule([this, request] {
          store(request.table, request.expectedKeyRevision);
        });
      }
      schedule([this, editor] { loseReply(editor); });
      return;
    }
    schedule([this, editor, request] {
      const bool isStored = store(request.table, request.expectedKeyRevision);
      scheduleReply(editor, [isStored](EditTransaction& run) {
        isStored ? run.writeDone() : run.writeConflict();
      });
    });
  }

  void loseReply(const OperatorPtr& editor)
  {
    if (mDefect == RaceDefect::NoReadBack) {
      editor->run->writeFailed("no answer");
    } else if (mDefect == RaceDefect::ForgetsLostWrite) {
      editor->run->writeConflict();
    } else {
      editor->run->writeUnknown();
    }
    performNextAction(editor);
  }

  void finish(const OperatorPtr& editor)
  {
    const auto& outcome = std::get<EditOutcome>(editor->run->nextAction());
    if (const auto* accepted = std::get_if<EditAccepted>(&outcome)) {
      mAccepted[editor->edit.id] = accepted->revision;
    } else if (!std::holds_alternative<EditUnknown>(outcome)) {
      mRefused.push_back(editor->edit.id);
    } else if (editor->remainingResends-- > 0) {
      editor->run.emplace(editor->edit, editor->run->minRevision());
      schedule([this, editor] { performNextAction(editor); });
    }
  }

  std::optional<std::string> check() const
  {
    for (const auto& [id, revision] : mAccepted) {
      if (acceptedRevision(current(), id) != revision) {
        return "accepted edit " + id + " is lost";
      }
    }
    for (const auto& id : mRefused) {
      if (acceptedRevision(current(), id)) {
        return "refused edit " + id + " was applied";
      }
    }
    for (std::size_t i = 1; i < mStoredTables.size(); ++i) {
      const auto& before = mStoredTables[i - 1];
      const auto& after = mStoredTables[i];
      const bool keepsEdits =
        after.revision == before.revision + 1 &&
        after.recentEdits.size() == before.recentEdits.size() + 1 &&
        std::equal(before.recentEdits.begin(),
                   before.recentEdits.end(),
                   after.recentEdits.begin());
      if (!keepsEdits) {
        return "revision " + std::to_string(after.revision) +
               " reverts an edit";
      }
    }
    return std::nullopt;
  }

  pcg32 mRandom;
  RaceDefect mDefect;
  /// All tables that the store has held, oldest first. The key's revision of a
  /// table is the table's position in this list, counted from 1.
  std::vector<Table> mStoredTables;
  /// Pending events, which run in random order.
  std::vector<std::function<void()>> mActions;
  /// Revisions of the accepted edits, by edit id.
  std::map<std::string, std::int64_t> mAccepted;
  /// Ids of the refused edits.
  std::vector<std::string> mRefused;
};

} // namespace lentilrack::core::testing
