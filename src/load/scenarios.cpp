#include "load/scenarios.h"

namespace lentilrack::load {

const std::vector<Scenario>&
scenarios()
{
  static const std::vector<Scenario> kScenarios{
    { "mixed-length",
      "short orders at 80% load, alone and with 10% of orders 30 times longer",
      runMixedLength },
    { "slow-servers",
      "orders while 2 of 10 servers run at a fifth of their speed",
      runSlowServers },
    { "overload",
      "orders of two callers at three times the capacity",
      runOverload },
    { "trainer-step",
      "steps with log-normal lengths and 5% stragglers",
      runTrainerStep },
    { "weights-change",
      "orders and steps while new weights are announced",
      runWeightsChange },
    { "kv-outage", "orders while the key-value service is down", runKvOutage },
    { "instance-crash",
      "orders while an instance is killed",
      runOrdersUnderFault },
    { "instance-pause",
      "orders while an instance is paused",
      runOrdersUnderFault },
    { "drain", "orders while an instance drains", runOrdersUnderFault },
    { "edit-race", "operators edit the same rows concurrently", runEditRace },
  };
  return kScenarios;
}

} // namespace lentilrack::load
