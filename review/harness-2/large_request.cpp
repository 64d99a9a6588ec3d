#include "cases.h"
#include "deployment.h"

#include <fmt/format.h>

#include <cstdlib>

namespace lentilrack::review {

namespace {

constexpr std::size_t kMegabyte = 1024UL * 1024;

std::size_t
environmentNumber(const char* name, std::size_t fallback)
{
  const char* text = std::getenv(name);
  return text != nullptr ? std::strtoul(text, nullptr, 10) : fallback;
}

} // namespace

net::Awaitable<int>
runLargeRequest(Deployment& deployment)
{
  auto& record = deployment.record;
  deployment.addGateways(1);
  for (int i = 0; i < 3; ++i) {
    deployment.addSampler("desk", "").work = Millis(100);
  }
  deployment.writeDesiredState();
  const bool isReady = co_await deployment.start();
  if (!isReady) {
    co_return kNotRun;
  }
  auto& gateway = *deployment.gateways[0];
  const auto size = environmentNumber("SIZE_MB", 30) * kMegabyte;
  const auto count = environmentNumber("COUNT", 1);
  for (std::size_t i = 0; i < count; ++i) {
    const auto send = [](Deployment& d, std::size_t bytes, std::size_t n)
      -> net::Awaitable<void> {
      net::HttpClient client(d.io);
      net::HttpCall call;
      call.endpoint = d.gateways[0]->front();
      call.request.method = "POST";
      call.request.target = fmt::format("/lookup/{}", n);
      call.request.headers = callerHeaders(fmt::format("big-{}", n));
      call.request.body.assign(bytes, 'x');
      const auto result = co_await client.call(std::move(call));
      d.record.line(fmt::format("big-{}: status {} {}",
                                n,
                                result.response.status,
                                result.error ? result.error.message() : ""));
    };
    net::spawn(deployment.io, send(deployment, size, i));
  }
  std::size_t peak = 0;
  const auto end = Clock::now() + std::chrono::seconds(4);
  while (Clock::now() < end) {
    co_await net::sleepFor(Millis(2));
    const auto now = gateway.residentBytes();
    if (now > peak + kMegabyte) {
      peak = now;
      record.line(fmt::format("resident {} MB", now / kMegabyte));
    }
  }
  co_return kHeld;
}

} // namespace lentilrack::review
