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

/// Ways to handle edits that are wrong on purpose.
enum class RaceDefect
{
  None,
  /// Writes without comparing the revision of the key.
  BlindWrite,
  /// Takes a lost reply for a refusal.
  NoReadBack,
  /// Reads back, but forgets that the lost write may still take effect.
  ForgetsLostWrite,
};

/// Many operators who edit a few rows at once through a key-value store that
/// loses requests and replies, delays writes past the reading back, answers
/// reads late and out of order, and sometimes from an old copy. All choices
/// come from the seed.
class EditRace
{
public:
  EditRace(std::uint64_t seed, RaceDefect defect)
    : mRandom(seed)
    , mDefect(defect)
  {
    mDocuments.push_back(smallTable());
  }

  /// Runs the race; the first rule that was broken, or nothing.
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
    int resends = kResends;
  };
  using OperatorPtr = std::shared_ptr<Operator>;

  std::size_t below(std::size_t bound)
  {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(mRandom);
  }
  bool chance(int percent) { return below(100) < std::size_t(percent); }

  const Table& current() const { return mDocuments.back(); }
  std::int64_t keyRevision() const
  {
    return static_cast<std::int64_t>(mDocuments.size());
  }

  Edit newEdit(int number)
  {
    // Operators often look at an old table, so that many edits conflict.
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
    auto one = std::make_shared<Operator>();
    one->edit = std::move(edit);
    one->run.emplace(one->edit, 1);
    later([this, one] { step(one); });
  }

  void later(std::function<void()> action)
  {
    mActions.push_back(std::move(action));
  }

  void step(const OperatorPtr& one)
  {
    if (std::holds_alternative<EditTransaction::Read>(one->run->nextAction())) {
      read(one);
    } else if (std::holds_alternative<EditTransaction::Write>(
                 one->run->nextAction())) {
      write(one);
    } else {
      finish(one);
    }
  }

  void answer(const OperatorPtr& one,
              std::function<void(EditTransaction&)> reply)
  {
    later([this, one, reply = std::move(reply)] {
      reply(*one->run);
      step(one);
    });
  }

  void read(const OperatorPtr& one)
  {
    if (chance(15)) {
      answer(one, [](EditTransaction& run) { run.readFailed("no answer"); });
      return;
    }
    later([this, one] {
      // The store answers now; the answer arrives at some later time.
      const auto age = chance(20) ? below(mDocuments.size()) : 0;
      const auto index = mDocuments.size() - 1 - age;
      auto table = mDocuments[index];
      const auto revision = static_cast<std::int64_t>(index) + 1;
      answer(one, [table, revision](EditTransaction& run) {
        run.readDone(table, revision);
      });
    });
  }

  /// Whether the store took it.
  bool store(const Table& table, std::int64_t expect)
  {
    if (mDefect != RaceDefect::BlindWrite && expect != keyRevision()) {
      return false;
    }
    mDocuments.push_back(table);
    return true;
  }

  void write(const OperatorPtr& one)
  {
    const auto request =
      std::get<EditTransaction::Write>(one->run->nextAction());
    if (chance(10)) {
      answer(one, [](EditTransaction& run) { run.writeFailed("not sent"); });
      return;
    }
    if (chance(30)) {
      // The request may take effect before or after the caller gives up.
      if (chance(70)) {
        later([this, request] {
          store(request.table, request.expectedKeyRevision);
        });
      }
      later([this, one] { loseReply(one); });
      return;
    }
    later([this, one, request] {
      const bool isStored = store(request.table, request.expectedKeyRevision);
      answer(one, [isStored](EditTransaction& run) {
        isStored ? run.writeDone() : run.writeConflict();
      });
    });
  }

  void loseReply(const OperatorPtr& one)
  {
    if (mDefect == RaceDefect::NoReadBack) {
      one->run->writeFailed("no answer");
    } else if (mDefect == RaceDefect::ForgetsLostWrite) {
      one->run->writeConflict();
    } else {
      one->run->writeUnknown();
    }
    step(one);
  }

  void finish(const OperatorPtr& one)
  {
    const auto& outcome = std::get<EditOutcome>(one->run->nextAction());
    if (const auto* accepted = std::get_if<EditAccepted>(&outcome)) {
      mAccepted[one->edit.id] = accepted->revision;
    } else if (!std::holds_alternative<EditUnknown>(outcome)) {
      mRefused.push_back(one->edit.id);
    } else if (one->resends-- > 0) {
      one->run.emplace(one->edit, one->run->minRevision());
      later([this, one] { step(one); });
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
        return "refused edit " + id + " is in force";
      }
    }
    for (std::size_t i = 1; i < mDocuments.size(); ++i) {
      const auto& before = mDocuments[i - 1];
      const auto& after = mDocuments[i];
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
  /// Every document that the store has held, oldest first; the key's revision
  /// is the position, from 1.
  std::vector<Table> mDocuments;
  std::vector<std::function<void()>> mActions;
  std::map<std::string, std::int64_t> mAccepted;
  std::vector<std::string> mRefused;
};

} // namespace lentilrack::core::testing
