#pragma once

#include "core/hedging/hedge_budget.h"
#include "core/hedging/hedge_policy.h"
#include "core/hedging/hedge_target.h"
#include "core/hedging/service_load.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::core {

/// How an attempt at a server ended.
enum class AttemptEnd
{
  Answered,
  /// The attempt was given up before the server answered.
  GivenUp,
  /// The server refused the attempt, since it is full.
  Refused,
  /// The request did not reach the server or was not meant for it.
  NotExecuted,
  /// The server failed, which says nothing about the time that it takes.
  Failed,
};

/// Decides on second attempts (hedges) for all services of a process, by the
/// expected gain, the load of the service, the available servers and the budget
/// of extra work.
class HedgeController
{
public:
  /// What was expected of a second attempt that was allowed.
  struct Hedge
  {
    HedgeBudget::Reservation reservation;
    HedgePlan plan;
  };

  /// An attempt that has ended.
  struct Attempt
  {
    AttemptEnd end = AttemptEnd::Failed;
    PreciseMillis took{ 0 };
    /// Slots of the server.
    int slots = 1;
    /// Whether the answer of this attempt is the answer to the request.
    bool hasWon = false;
    /// Set if this is a second attempt that was allowed.
    std::optional<Hedge> hedge;
  };

  /// A request whose second attempt is due.
  struct Question
  {
    std::string service;
    HedgePlan plan;
    HedgeTargetRequest target;
    /// Random numbers in [0, 1).
    double serverRandom = 0;
    double budgetRandom = 0;
  };

  struct Decision
  {
    HedgeVerdict verdict = HedgeVerdict::NoServer;
    /// Server of the second attempt; null unless it is allowed.
    const RegisteredServer* server = nullptr;
    std::optional<Hedge> hedge;
  };

  /// Sets the extra work that is allowed, as a share of the completed work of
  /// each service; 0 for none.
  void setLimit(double share);
  double limit() const { return mLimit; }

  /// Returns when a request that is sent now should get a second attempt;
  /// nothing if it should not get one.
  std::optional<HedgePlan> plan(const HedgePolicy::Subject& subject,
                                TimePoint now) const;
  /// Decides whether a second attempt is sent now, and to which of the servers.
  /// Reserves its work if it is.
  Decision decide(const Question& question,
                  const std::vector<const RegisteredServer*>& servers,
                  TimePoint now);
  /// Records an attempt that has ended. Must be called for each second attempt
  /// that was allowed, so that its reservation is settled.
  void recordAttempt(const HedgePolicy::Subject& subject,
                     const Attempt& attempt,
                     TimePoint now);

private:
  struct Service
  {
    HedgeBudget budget;
    ServiceLoad load;
  };

  Service& serviceNamed(const std::string& name);

  double mLimit = 0;
  HedgePolicy mPolicy;
  std::map<std::string, Service> mServices;
};

} // namespace lentilrack::core
