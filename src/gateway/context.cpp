#include "gateway/context.h"

namespace lentilrack::gateway {

Context::Context(net::asio::io_context& context,
                 ProcessSettings processSettings,
                 const WireFormat& wireFormat,
                 CoordinationStore& coordinationStore,
                 DecisionLog& decisionLog)
  : io(context)
  , settings(std::move(processSettings))
  , format(wireFormat)
  , store(coordinationStore)
  , log(decisionLog)
  , hedging(settings.hedgeLimitPercent, metrics, log)
  , http(context)
  , servers(*this)
  , incarnation(std::to_string(random()))
{
  registry.setIdleConnectionTest([this](const core::Endpoint& endpoint) {
    return http.hasIdleConnection(endpoint);
  });
}

void
Context::recordRun(const std::string& organisation,
                   core::TimePoint beganAt) const
{
  // Without organisations, the header that names one is the caller's.
  const bool isIdentified = desired && desired->organisations() != nullptr;
  if (onRequestRun && isIdentified && !organisation.empty()) {
    onRequestRun(organisation, beganAt);
  }
}

core::Millis
Context::timeToAnswer() const
{
  constexpr core::Millis kUnlimited{ std::chrono::hours(24) };
  return answerDeadline ? std::chrono::duration_cast<core::Millis>(
                            *answerDeadline - core::Clock::now())
                        : kUnlimited;
}

} // namespace lentilrack::gateway
