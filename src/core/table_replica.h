#pragma once

#include "core/table.h"

#include <functional>
#include <memory>
#include <vector>

namespace lentilrack::core {

/// The table that this process applies. It is only ever replaced by a higher
/// revision; older tables are ignored, whatever their source.
class TableReplica
{
public:
  /// Returns the current table. It has revision 0 and no rows before the first
  /// call of applyIfNewer().
  const Table& table() const { return *mTable; }
  /// Returns the current table as a shared object that later updates do not
  /// change, for work that must use a single revision.
  std::shared_ptr<const Table> snapshot() const { return mTable; }
  std::int64_t revision() const { return mTable->revision; }

  /// Replaces the current table if `table` has a higher revision. Returns
  /// whether it was replaced.
  bool applyIfNewer(Table table);

  /// Adds a function that is called after each replacement.
  void addChangeListener(std::function<void(const Table&)> listener)
  {
    mListeners.push_back(std::move(listener));
  }

private:
  std::shared_ptr<const Table> mTable = std::make_shared<const Table>();
  std::vector<std::function<void(const Table&)>> mListeners;
};

} // namespace lentilrack::core
