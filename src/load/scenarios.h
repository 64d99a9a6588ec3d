#pragma once

#include "load/context.h"

#include <functional>
#include <string>
#include <vector>

namespace lentilrack::load {

/// A load scenario and the coroutine that runs it.
struct Scenario
{
  std::string name;
  std::string summary;
  std::function<net::Awaitable<void>(Context&, Report&)> run;
};

/// Returns all scenarios, in the order in which --list prints them.
const std::vector<Scenario>&
scenarios();

net::Awaitable<void>
runMixedLength(Context& context, Report& report);
net::Awaitable<void>
runSlowServers(Context& context, Report& report);
net::Awaitable<void>
runOverload(Context& context, Report& report);
net::Awaitable<void>
runKvOutage(Context& context, Report& report);
/// Runs the scenarios instance-crash, instance-pause and drain: places
/// idempotent and other orders while the script that started the deployment
/// kills, pauses or stops an instance.
net::Awaitable<void>
runOrdersUnderFault(Context& context, Report& report);
net::Awaitable<void>
runTrainerStep(Context& context, Report& report);
net::Awaitable<void>
runWeightsChange(Context& context, Report& report);
net::Awaitable<void>
runEditRace(Context& context, Report& report);

} // namespace lentilrack::load
