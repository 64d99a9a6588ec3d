#include "gateway/context.h"

#include "gateway/read_limits.h"

namespace lentilrack::gateway {

Context::Context(net::asio::io_context& context,
                 ProcessSettings processSettings,
                 const WireFormat& wireFormat,
                 CoordinationStore& coordinationStore,
                 DecisionLog& decisionLog,
                 std::shared_ptr<net::ReadMemory> memory)
  : io(context)
  , settings(std::move(processSettings))
  , format(wireFormat)
  , store(coordinationStore)
  , log(decisionLog)
  , hedging(settings.hedgeLimitPercent, metrics, log)
  , readMemory(memory ? std::move(memory) : makeReadMemory(settings))
  , http(context, readMemory)
  , servers(*this)
  , incarnation(std::to_string(random()))
{
  registry.setIdleConnectionTest([this](const core::Endpoint& endpoint) {
    return http.hasIdleConnection(endpoint);
  });
}

std::shared_ptr<net::ReadMemory>
Context::makeReadMemory(const ProcessSettings& settings)
{
  return std::make_shared<net::ReadMemory>(settings.memoryLimitBytes /
                                           kReadMemoryDivisor);
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
