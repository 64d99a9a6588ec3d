#include "core/handover_delay.h"

namespace lentilrack::core {

void
HandoverDelay::recordOrder(const std::string& server,
                           std::int64_t startedAt,
                           std::int64_t count,
                           TimePoint at)
{
  mOrders[server] = { startedAt, count, at };
}

void
HandoverDelay::startTakeover(TimePoint now)
{
  mTakenOverAt = now;
  mReports.clear();
}

void
HandoverDelay::recordReport(const ServerEntry& server,
                            std::int64_t count,
                            TimePoint now)
{
  if (!isEarly(now)) {
    mReports[server.id] = { server.startedAt, count, now };
  }
}

bool
HandoverDelay::isOver(TimePoint now) const
{
  return !mTakenOverAt || now >= *mTakenOverAt + mLimits.orderWindow +
                                   mLimits.minOrderInterval +
                                   mLimits.transitMargin;
}

bool
HandoverDelay::isEarly(TimePoint now) const
{
  return mTakenOverAt &&
         now < *mTakenOverAt + mLimits.orderWindow + mLimits.maxReportAge;
}

const HandoverDelay::Order*
HandoverDelay::find(const std::map<std::string, Order>& orders,
                    const ServerEntry& server) const
{
  const auto found = orders.find(server.id);
  const bool isSame =
    found != orders.end() && found->second.startedAt == server.startedAt;
  return isSame ? &found->second : nullptr;
}

bool
HandoverDelay::needsReport(const ServerEntry& server, TimePoint now) const
{
  return !isOver(now) && !isEarly(now) && find(mReports, server) == nullptr;
}

bool
HandoverDelay::canOrder(const ServerEntry& server, TimePoint now) const
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
         now >= order->at + mLimits.minOrderInterval + mLimits.transitMargin;
}

} // namespace lentilrack::core
