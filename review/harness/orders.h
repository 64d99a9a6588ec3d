// A model sampler that carries out orders and records who gave them.
#pragma once

#include "harness.h"

namespace review {

/// An order as it reached a sampler.
struct Order
{
  long at = 0;
  std::string holder;
  long fence = 0;
  long version = 0;
};

class ModelSampler
{
public:
  static constexpr long kLoadMs = 900;

  ModelSampler(Store& store, const std::string& id)
    : mSampler(
        store,
        id,
        "model-servers",
        [this](Connection& c, const Message& m) { return handle(c, m); },
        12)
  {
    mSampler.setVersion("m0", 1);
  }

  /// Answers a request for a report in place of this class, if it returns true.
  std::function<bool(Connection&)> onReport;
  /// Called with each order after it was answered.
  std::function<void(const Order&)> onOrder;
  std::vector<Order> orders()
  {
    const std::lock_guard lock(mMutex);
    return mOrders;
  }
  const std::string& id() const { return mSampler.id(); }
  /// Number of answers of any kind, counting the present one.
  long answers() const { return mAnswers; }

private:
  bool handle(Connection& c, const Message& request)
  {
    ++mAnswers;
    if (request.path() == "/api/report") {
      if (onReport && onReport(c)) {
        return false;
      }
      const std::lock_guard lock(mMutex);
      return answerReport(c, mSampler, mAccepted, mIsBusy);
    }
    if (request.path() == "/api/order") {
      return handleOrder(c, Json::parse(request.body));
    }
    return answerEvents(c, request, mSampler, "m0", 3, 10);
  }
  bool handleOrder(Connection& c, const Json& json)
  {
    const Order order{
      nowMs(), json.at("holder"), json.at("fence"), json.at("version")
    };
    int status = 202;
    {
      const std::lock_guard lock(mMutex);
      mOrders.push_back(order);
      if (mSampler.version("m0") >= order.version) {
        status = 200;
      } else if (mIsBusy || json.value("expect", mAccepted) != mAccepted) {
        status = 409;
      } else {
        mIsBusy = true;
        ++mAccepted;
      }
    }
    record("sampler " + mSampler.id() + ": order of version " +
           std::to_string(order.version) + " by " + order.holder + ", fence " +
           std::to_string(order.fence) + " -> " + std::to_string(status));
    const bool isOpen = c.send(responseText(status, {}, ""));
    if (status == 202) {
      std::thread([this, order] {
        sleepMs(kLoadMs);
        mSampler.setVersion("m0", order.version);
        const std::lock_guard lock(mMutex);
        mIsBusy = false;
      }).detach();
    }
    if (onOrder) {
      onOrder(order);
    }
    return isOpen;
  }

  std::atomic<long> mAnswers = 0;
  std::mutex mMutex;
  std::vector<Order> mOrders;
  long mAccepted = 0;
  bool mIsBusy = false;
  Sampler mSampler;
};

/// Writes the version as a trainer does.
inline void
nameVersion(Store& store, long version)
{
  record("trainer: names version " + std::to_string(version));
  store.put("op/version/m0",
            Json{ { "model", "m0" }, { "version", version } }.dump());
}

/// Returns the name of the machine that leads, as the store shows it; empty if
/// there is none.
inline std::string
leaderOf(Store& store)
{
  const auto value = store.value("lentilrack/leader");
  return value.empty()
           ? ""
           : Json::parse(decodeBase64(value)).at("instance").get<std::string>();
}

/// Waits until the lease of the leader was renewed `ageMs` ago.
inline void
waitForLeaseAge(Store& store, long ageMs)
{
  for (int i = 0; i < 2000; ++i) {
    const auto renewedAt = store.renewedAt("lentilrack/leader");
    const auto age = renewedAt ? nowMs() - *renewedAt : -1;
    if (age >= ageMs && age < ageMs + 20) {
      return;
    }
    sleepMs(2);
  }
}

/// Returns a description of two orders of different machines to one sampler
/// within lease_ms (3 s); empty if there are none.
inline std::string
findTurns(const std::vector<Order>& orders)
{
  constexpr long kLeaseMs = 3000;
  for (std::size_t i = 1; i < orders.size(); ++i) {
    const auto& before = orders[i - 1];
    const auto& after = orders[i];
    const auto gap = after.at - before.at;
    if (after.holder != before.holder && gap < kLeaseMs) {
      return after.holder + " gave an order " + std::to_string(gap) +
             " ms after an order of " + before.holder;
    }
  }
  return "";
}

} // namespace review
