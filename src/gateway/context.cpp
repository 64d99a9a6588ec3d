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
  , http(context)
  , servers(*this)
  , incarnation(std::to_string(random()))
{
}

} // namespace lentilrack::gateway
