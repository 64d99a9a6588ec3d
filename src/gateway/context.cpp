#include "gateway/context.h"

#include "gateway/state_sync.h"

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
  , http(context)
  , mirrors{ core::KeyMirror(),
             core::KeyMirror([&wireFormat](const auto& a, const auto& b) {
               return isSameServer(wireFormat, a, b);
             }),
             core::KeyMirror() }
  , lifetime(std::to_string(random()))
{
}

} // namespace lentilrack::gateway
