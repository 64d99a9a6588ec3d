#include "core/autoscaling/server_allocation.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <ranges>

namespace lentilrack::core {

namespace {

/// Number of servers by which a failure domain may exceed the others for a
/// price that is lower by half. Losing a failure domain costs more than the
/// difference of the prices saves.
constexpr double kServersPerHalfPrice = 6;

class Allocation
{
public:
  explicit Allocation(const AllocationRequest& request)
    : mRequest(request)
    , mMaxReclaimableOfDomain(
        std::max(0, request.servers - request.requiredAfterLoss))
  {
    double sum = 0;
    for (const auto& [domain, price] : request.spec.pricePerSecond) {
      sum += price;
    }
    const auto count = request.spec.pricePerSecond.size();
    mMeanPrice = count > 0 ? sum / static_cast<double>(count) : 0;
    for (const auto& domain : request.failureDomains) {
      mCounts[domain];
    }
  }

  /// Adds a server to the failure domain that is below its minimum or has the
  /// lowest cost. Returns false if no failure domain has room.
  bool addServer()
  {
    std::optional<std::pair<double, std::string>> best;
    for (const auto& [domain, counts] : mCounts) {
      if (counts.total() < mRequest.spec.maxServers && kindFor(domain)) {
        const bool isBelowMinimum = counts.total() < mRequest.spec.minServers;
        const auto candidate = std::pair(
          isBelowMinimum ? -1e9 + counts.total() : cost(domain), domain);
        best = std::min(best.value_or(candidate), candidate);
      }
    }
    if (best) {
      ++mCounts[best->second].ofKind(*kindFor(best->second));
    }
    return best.has_value();
  }

  bool isBelowMinimum() const
  {
    return std::ranges::any_of(mCounts, [this](const auto& item) {
      return item.second.total() < mRequest.spec.minServers;
    });
  }

  const CountsByDomain& counts() const { return mCounts; }

private:
  /// Returns the cost of one more server, in servers.
  double cost(const std::string& domain) const
  {
    const auto price = mRequest.spec.pricePerSecond.find(domain);
    const double relative =
      price == mRequest.spec.pricePerSecond.end() || mMeanPrice <= 0
        ? 1.0
        : price->second / mMeanPrice;
    return mCounts.at(domain).total() + relative * 2 * kServersPerHalfPrice;
  }

  bool hasRoom(const ServerPool& pool) const
  {
    const auto maximum = mRequest.maximumByPool.find(pool);
    return maximum == mRequest.maximumByPool.end() ||
           mCounts.at(pool.failureDomain).ofKind(pool.isReclaimable) <
             maximum->second;
  }

  /// Returns whether the next server of the failure domain is reclaimable;
  /// nothing if there is no room.
  std::optional<bool> kindFor(const std::string& domain) const
  {
    int reclaimable = 0;
    for (const auto& [name, counts] : mCounts) {
      reclaimable += counts.reclaimable;
    }
    const auto share = mRequest.maxReclaimableShare *
                       static_cast<double>(totalServers(mCounts) + 1);
    const bool mayReclaim =
      mRequest.spec.reclaimablePriceFactor > 0 &&
      mRequest.spec.reclaimablePriceFactor < 1 && reclaimable + 1 <= share &&
      mCounts.at(domain).reclaimable < mMaxReclaimableOfDomain &&
      hasRoom({ domain, true });
    if (mayReclaim) {
      return true;
    }
    return hasRoom({ domain, false }) ? std::optional(false) : std::nullopt;
  }

  const AllocationRequest& mRequest;
  int mMaxReclaimableOfDomain;
  double mMeanPrice = 0;
  CountsByDomain mCounts;
};

} // namespace

CountsByDomain
allocateToDomains(const AllocationRequest& request)
{
  Allocation allocation(request);
  while (totalServers(allocation.counts()) < request.servers ||
         allocation.isBelowMinimum()) {
    if (!allocation.addServer()) {
      break;
    }
  }
  return allocation.counts();
}

} // namespace lentilrack::core
