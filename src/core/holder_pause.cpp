#include "core/holder_pause.h"

namespace lentilrack::core {

void
HolderPause::noteOrder(const std::string& server,
                       std::int64_t startedAt,
                       std::int64_t count,
                       TimePoint at)
{
  mOrders[server] = { startedAt, count, at };
}

void
HolderPause::takeOver(TimePoint now)
{
  mTakenOverAt = now;
  mReports.clear();
}

void
HolderPause::noteReport(const ServerEntry& server,
                        std::int64_t count,
                        TimePoint now)
{
  if (!isEarly(now)) {
    mReports[server.id] = { server.startedAt, count, now };
  }
}

bool
HolderPause::isOver(TimePoint now) const
{
  return !mTakenOverAt ||
         now >= *mTakenOverAt + mLimits.window + mLimits.pause + mLimits.margin;
}

bool
HolderPause::isEarly(TimePoint now) const
{
  return mTakenOverAt &&
         now < *mTakenOverAt + mLimits.window + mLimits.reportAge;
}

const HolderPause::Order*
HolderPause::find(const std::map<std::string, Order>& orders,
                  const ServerEntry& server) const
{
  const auto found = orders.find(server.id);
  const bool isSame =
    found != orders.end() && found->second.startedAt == server.startedAt;
  return isSame ? &found->second : nullptr;
}

bool
HolderPause::needsReport(const ServerEntry& server, TimePoint now) const
{
  return !isOver(now) && !isEarly(now) && find(mReports, server) == nullptr;
}

bool
HolderPause::mayOrder(const ServerEntry& server, TimePoint now) const
{
  if (isOver(now)) {
    return true;
  }
  const auto* report = find(mReports, server);
  if (isEarly(now) || report == nullptr) {
    return false;
  }
  if (report->count == 0) {
    return true;
  }
  const auto* order = find(mOrders, server);
  return order != nullptr && order->count == report->count &&
         now >= order->at + mLimits.pause + mLimits.margin;
}

} // namespace lentilrack::core
