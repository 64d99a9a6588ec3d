#pragma once

#include "core/table.h"

#include <functional>
#include <memory>
#include <vector>

namespace lentilrack::core {

/// The table in force in one process. The highest revision wins, always; an
/// older one is ignored, whatever its source.
class TableReplica
{
public:
  /// Revision 0, without rows, until the first table is offered.
  const Table& table() const { return *mTable; }
  /// Keeps the table of this moment, for work that must see one revision.
  std::shared_ptr<const Table> snapshot() const { return mTable; }
  std::int64_t revision() const { return mTable->revision; }

  /// Puts the table in force if it is newer. Returns whether it did.
  bool applyIfNewer(Table table);

  /// Called after each change.
  void addChangeListener(std::function<void(const Table&)> listener)
  {
    mListeners.push_back(std::move(listener));
  }

private:
  std::shared_ptr<const Table> mTable = std::make_shared<const Table>();
  std::vector<std::function<void(const Table&)>> mListeners;
};

} // namespace lentilrack::core
