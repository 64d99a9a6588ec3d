#pragma once

#include "core/desired_state.h"
#include "core/key_mirror.h"
#include "core/organisations/fair_share.h"
#include "core/server_registry.h"
#include "gateway/coordination_store.h"
#include "gateway/decision_log.h"
#include "gateway/hedging.h"
#include "gateway/server_client.h"
#include "gateway/wire_format.h"
#include "net/cancel_signal.h"
#include "net/metrics.h"

#include <pcg_random.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <random>

namespace lentilrack::gateway {

/// Local mirrors of those parts of the store that every process follows.
struct Mirrors
{
  /// Keys that the operator writes.
  core::KeyMirror operatorKeys;
  /// Entries of the backend servers. An update that changes only the write
  /// counter of an entry is ignored.
  core::KeyMirror servers;
  /// Keys that the processes themselves write.
  core::KeyMirror cluster;
};

/// State and services shared by all parts of the process, which run on one
/// thread.
struct Context
{
  net::asio::io_context& io;
  ProcessSettings settings;
  const WireFormat& format;
  CoordinationStore& store;
  DecisionLog& log;
  net::Metrics metrics;
  Hedging hedging;
  /// Limits what all responses that the process reads hold together.
  std::shared_ptr<net::ReadMemory> readMemory;
  net::HttpClient http;
  core::ServerRegistry registry;
  ServerClient servers;
  Mirrors mirrors;
  /// The desired state in force; null until the first one is received.
  std::shared_ptr<const core::DesiredState> desired;
  /// Shares of the slots of each model's servers between organisations, by
  /// model.
  std::map<std::string, core::FairShare> slotShares;
  /// Newest version of the weights that trainers have announced, by model.
  std::map<std::string, std::int64_t> announcedVersions;
  /// Called once for each request of an organisation's caller, when it is known
  /// to have run at a backend server, with the time at which it began. Not set
  /// if usage is not reported.
  std::function<void(const std::string& organisation, core::TimePoint)>
    onRequestRun;
  pcg64 random{ std::random_device{}() };
  /// Distinguishes this process from earlier ones of the same instance.
  std::string incarnation;
  /// True after SIGTERM, while the process shuts down.
  bool isLeaving = false;
  /// When requests must be answered at the latest; set while the process shuts
  /// down.
  std::optional<core::TimePoint> answerDeadline;
  /// Fires at the answer deadline. Requests that are still open are then
  /// answered with what is known of them.
  std::shared_ptr<net::CancelSignal> stopping =
    std::make_shared<net::CancelSignal>();

  Context(net::asio::io_context& context,
          ProcessSettings processSettings,
          const WireFormat& wireFormat,
          CoordinationStore& coordinationStore,
          DecisionLog& decisionLog,
          std::shared_ptr<net::ReadMemory> memory = nullptr);
  /// Returns the limit of a process with these settings.
  static std::shared_ptr<net::ReadMemory> makeReadMemory(
    const ProcessSettings& settings);

  /// Records that a request of an organisation's caller has run at a backend
  /// server.
  void recordRun(const std::string& organisation,
                 core::TimePoint beganAt) const;

  /// Returns the time until requests must be answered; a long time unless the
  /// process shuts down.
  core::Millis timeToAnswer() const;

  /// Returns a random number, uniformly distributed in [0, 1).
  double uniformRandom()
  {
    return std::uniform_real_distribution<double>(0, 1)(random);
  }
};

} // namespace lentilrack::gateway
