#pragma once

#include "core/autoscaling/server_count_planner.h"
#include "core/autoscaling/server_order_queue.h"
#include "gateway/cluster_view.h"
#include "gateway/peer_client.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace lentilrack::gateway {

/// How a class that calls the provider learns whether this process has the
/// duty to do so.
struct ProviderDuty
{
  /// Whether this process holds the duty.
  std::function<bool()> isHeld;
  /// Whether the provider may be called now.
  std::function<bool()> mayCall;
  /// The holder that a call made now must name.
  std::function<DutyHolder()> holder;
  /// Returns the check to be made right before the first byte of a call.
  std::function<std::function<bool()>()> makeCallCheck;
};

/// Orders backend servers from the provider while this process holds the duty.
/// Plans the numbers about once a second from the batches of the cluster and
/// the speed of the servers, and sends an order when a number changes. In
/// processes without the duty, reports the observed speed to the holder.
class ServerOrders
{
public:
  struct Options
  {
    core::ServerCountPlanner::Limits planner;
    core::ServerDemand::Limits demand;
    core::Millis planInterval{ 1'000 };
  };

  ServerOrders(Context& context,
               ClusterView& cluster,
               PeerClient& peers,
               ProviderDuty duty,
               Options options);
  /// Uses the default options, with the value of waiting from the settings.
  ServerOrders(Context& context,
               ClusterView& cluster,
               PeerClient& peers,
               ProviderDuty duty);

  /// Starts to plan and to order, if the provider takes orders.
  void start();
  /// Applies a report of another process about the speed of servers.
  void applySpeedReport(const std::string& body);

private:
  /// What is known of a service during a term.
  struct ServiceState
  {
    core::ServerCountPlanner planner;
    core::CountsByDomain planned;
  };
  /// State of one term. Calls that are still in progress when the term ends
  /// keep it alive.
  struct Term
  {
    explicit Term(core::ServerOrderQueue::Limits limits)
      : queue(limits)
    {
    }
    core::ServerOrderQueue queue;
    std::map<std::string, ServiceState> services;
  };
  /// Observed time per unit of work of a service.
  struct Speed
  {
    double millisPerUnit = 0;
    core::TimePoint reportedAt;
  };

  net::Awaitable<void> run();
  /// Reports the speed of the servers that run the batches of this process.
  void reportSpeeds();
  void planAll(Term& term);
  void planService(const core::ServiceSpec& service, Term& term);
  core::ServiceObservation observe(const core::ServiceSpec& service) const;
  /// Returns the numbers that an operator has set for a service.
  core::CountsByDomain overridesOf(const core::ServiceSpec& service) const;
  /// Records the plan in the log and the metrics.
  void publishPlan(const std::string& service,
                   const ServiceState& state,
                   const core::ServiceObservation& observation,
                   const core::CountsByDomain& previous);
  net::Awaitable<void> send(std::shared_ptr<Term> term, core::PoolOrder order);
  /// Returns the median of the reported times per unit; 0 if none is recent.
  double medianSpeed(const std::string& service) const;

  Context& mContext;
  ClusterView& mCluster;
  PeerClient& mPeers;
  ProviderDuty mDuty;
  Options mOptions;
  /// Null while another process holds the duty.
  std::shared_ptr<Term> mTerm;
  /// Speeds by service and reporting instance.
  std::map<std::pair<std::string, std::string>, Speed> mSpeeds;
  core::TimePoint mReportAt{};
  /// Planned numbers as the metrics show them, by service and pool.
  std::map<std::pair<std::string, core::ServerPool>, int> mPlannedGauges;
};

} // namespace lentilrack::gateway
