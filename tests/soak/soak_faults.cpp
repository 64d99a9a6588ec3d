#include "soak_run.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>

namespace lentilrack::soak {

namespace {

using core::Clock;
using core::Millis;

/// Calls that arrive this long after a process was resumed or its connections
/// were restored may have been sent before.
constexpr Millis kExcuseTime{ 500 };
/// At least so many processes are left undisturbed.
constexpr int kMinUndisturbed = 1;
constexpr Millis kPollInterval{ 20 };
/// A process that was asked to end is killed after this time.
constexpr Millis kKillTime{ 8'000 };

} // namespace

SoakRun::Machine*
SoakRun::undisturbedMachine()
{
  std::vector<Machine*> candidates;
  for (auto& machine : mMachines) {
    if (!machine.isDisturbed && machine.process->isRunning()) {
      candidates.push_back(&machine);
    }
  }
  if (static_cast<int>(candidates.size()) <= kMinUndisturbed) {
    return nullptr;
  }
  const auto index =
    static_cast<std::size_t>(draw() * static_cast<double>(candidates.size()));
  return candidates[std::min(index, candidates.size() - 1)];
}

void
SoakRun::excuse(Machine& machine)
{
  machine.excusedUntil = Clock::now() + kExcuseTime;
}

net::Awaitable<void>
SoakRun::kill(Machine& machine)
{
  machine.isDisturbed = true;
  machine.process->kill();
  machine.seenVersion = 0;
  co_await net::sleepFor(drawTime(Millis(0), Millis(1'500)));
  machine.process->start(seeds());
  machine.isDisturbed = false;
}

net::Awaitable<void>
SoakRun::terminate(Machine& machine)
{
  machine.isDisturbed = true;
  machine.process->signal(SIGTERM);
  const auto deadline = Clock::now() + kKillTime;
  while (!machine.process->hasEnded() && Clock::now() < deadline) {
    co_await net::sleepFor(kPollInterval);
  }
  machine.process->kill();
  machine.seenVersion = 0;
  machine.process->start(seeds());
  machine.isDisturbed = false;
}

net::Awaitable<void>
SoakRun::stop(Machine& machine)
{
  machine.isDisturbed = true;
  machine.excusedUntil = core::TimePoint::max();
  machine.process->signal(SIGSTOP);
  co_await net::sleepFor(drawTime(Millis(300), Millis(4'000)));
  machine.process->signal(SIGCONT);
  excuse(machine);
  machine.isDisturbed = false;
}

net::Awaitable<void>
SoakRun::cutFromStore(Machine& machine)
{
  machine.isDisturbed = true;
  machine.excusedUntil = core::TimePoint::max();
  const double way = draw();
  if (way < 0.4) {
    machine.store->isSilent = true;
  } else if (way < 0.8) {
    machine.store->dropsResponses = true;
  }
  machine.store->resetConnections();
  co_await net::sleepFor(drawTime(Millis(300), Millis(5'000)));
  machine.store->isSilent = false;
  machine.store->dropsResponses = false;
  excuse(machine);
  machine.isDisturbed = false;
}

net::Awaitable<void>
SoakRun::disturbStore()
{
  const double way = draw();
  if (way < 0.35) {
    mStore.isDown = true;
  } else if (way < 0.65) {
    mStore.delay = drawTime(Millis(50), Millis(400));
  } else {
    mStore.losesResponse = [this] { return draw() < 0.3; };
  }
  co_await net::sleepFor(drawTime(Millis(500), Millis(4'000)));
  mStore.isDown = false;
  mStore.delay = Millis(0);
  mStore.losesResponse = {};
}

void
SoakRun::changeKeys()
{
  constexpr std::size_t kMaxKeys = 40;
  std::vector<Key*> removable;
  for (auto& key : mKeys) {
    if (!key.isPermanent && key.removedIn == 0) {
      removable.push_back(&key);
    }
  }
  if (draw() < 0.6 && !removable.empty()) {
    const auto index =
      static_cast<std::size_t>(draw() * static_cast<double>(removable.size()));
    removable[std::min(index, removable.size() - 1)]->removedIn =
      mStateVersion + 1;
  } else if (mKeys.size() < kMaxKeys) {
    const auto* organisation = draw() < 0.5 ? "north" : "south";
    mKeys.push_back(
      { fmt::format("key-{}", mKeys.size()), organisation, false, 0 });
  }
  writeDesiredState();
}

void
SoakRun::announceVersion()
{
  const nlohmann::json version = { { "model", "model" },
                                   { "version", ++mWeightVersion } };
  mStore.table().put("op/version/model", version.dump());
}

net::Awaitable<void>
SoakRun::injectFaults()
{
  const auto end = Clock::now() + mOptions.duration;
  mProvider.failureShare = 0.3;
  while (Clock::now() < end) {
    co_await net::sleepFor(drawTime(Millis(100), Millis(1'500)));
    const double kind = draw();
    auto* machine = undisturbedMachine();
    const auto inject = [&](const char* name, net::Awaitable<void> fault) {
      ++mFaults[name];
      net::spawn(mIo, std::move(fault));
    };
    if (kind < 0.45 && machine == nullptr) {
      continue;
    }
    if (kind < 0.12) {
      inject("kill", kill(*machine));
    } else if (kind < 0.22) {
      inject("terminate", terminate(*machine));
    } else if (kind < 0.33) {
      inject("stop", stop(*machine));
    } else if (kind < 0.45) {
      inject("cut_from_store", cutFromStore(*machine));
    } else if (kind < 0.55) {
      inject("store", disturbStore());
    } else if (kind < 0.75) {
      ++mFaults["key_change"];
      changeKeys();
    } else if (kind < 0.85) {
      ++mFaults["new_weights"];
      announceVersion();
    } else {
      const auto index =
        static_cast<std::size_t>(draw() * static_cast<double>(mServers.size()));
      auto& server = *mServers[std::min(index, mServers.size() - 1)];
      ++mFaults[kind < 0.93 ? "server_restart" : "server_leaves"];
      kind < 0.93 ? server.restart() : server.leave();
    }
  }
}

void
SoakRun::heal()
{
  mProvider.failureShare = 0;
  for (const auto& server : mServers) {
    server->restart();
  }
}

} // namespace lentilrack::soak
