#pragma once

#include "load/context.h"

#include <functional>
#include <string>
#include <vector>

namespace lentilrack::load {

/// A scenario: what it shows, and the coroutine that runs it.
struct Scenario
{
  std::string name;
  std::string summary;
  std::function<net::Awaitable<void>(Context&, Report&)> run;
};

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
/// Orders of both kinds while the script that started the deployment does
/// something to an instance: instance-crash, instance-pause, drain.
net::Awaitable<void>
runOrdersUnderFault(Context& context, Report& report);
net::Awaitable<void>
runTrainerStep(Context& context, Report& report);
net::Awaitable<void>
runWeightsChange(Context& context, Report& report);
net::Awaitable<void>
runEditRace(Context& context, Report& report);

} // namespace lentilrack::load
