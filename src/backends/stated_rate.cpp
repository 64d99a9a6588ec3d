#include "backends/stated_rate.h"

#include "core/decimal.h"

#include <cmath>

namespace lentilrack::backends {

void
reportStatedRate(net::HttpCall& call, const RateHook& hook)
{
  if (!hook) {
    return;
  }
  call.acceptHeader =
    [hook, server = call.endpoint](const net::HttpResponse& response, bool) {
      const auto text = net::headerValue(response.headers, kStatedRateHeader);
      const auto rate = core::parseDecimal<double>(text);
      const bool isValid = rate && std::isfinite(*rate) && *rate >= 0;
      if (text.empty() || isValid) {
        hook(server, rate);
      }
      return true;
    };
}

} // namespace lentilrack::backends
