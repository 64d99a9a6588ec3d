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
  if (!isReportTooEarly(now)) {
    mReports[server.id] = { server.startedAt, count, now };
  }
}

bool
HandoverDelay::isHandoverOver(TimePoint now) const
{
  return !mTakenOverAt || now >= *mTakenOverAt + mLimits.orderWindow +
                                   mLimits.minOrderInterval +
                                   mLimits.transitMargin;
}

bool
HandoverDelay::isReportTooEarly(TimePoint now) const
{
  return mTakenOverAt &&
         now < *mTakenOverAt + mLimits.orderWindow + mLimits.maxReportAge;
}

const HandoverDelay::Order*
HandoverDelay::find(const std::map<std::string, Order>& orders,
                    const ServerEntry& server) const
{
  const auto found = orders.find(server.id);
  const bool isSameProcess =
    found != orders.end() && found->second.startedAt == server.startedAt;
  return isSameProcess ? &found->second : nullptr;
}

bool
HandoverDelay::needsReport(const ServerEntry& server, TimePoint now) const
{
  return !isHandoverOver(now) && !isReportTooEarly(now) &&
         find(mReports, server) == nullptr;
}

bool
HandoverDelay::canOrder(const ServerEntry& server, TimePoint now) const
{
  if (isHandoverOver(now)) {
    return true;
  }
  const auto* report = find(mReports, server);
  if (isReportTooEarly(now) || report == nullptr) {
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
