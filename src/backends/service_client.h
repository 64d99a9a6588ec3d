#pragma once

#include "backends/stated_rate.h"
#include "core/endpoint.h"
#include "core/work.h"
#include "net/http_client.h"

#include <functional>
#include <memory>
#include <string>

namespace lentilrack::backends {

/// A call of a plain service, with its callbacks and time limit.
struct ServiceCall
{
  core::CallContent content;
  /// Sent as the header Idempotency-Key, which the service may ignore.
  std::string requestId;
  core::Millis timeout{ 5000 };
  /// Called directly before the first byte is written. If it returns false, the
  /// call is not sent and the outcome is NotRun with reason "deadline".
  std::function<bool()> beforeFirstByte;
  /// Called for each part of the response body as it arrives.
  std::function<void(core::Chunk)> onChunk;
  /// Cancels the call; may be null.
  std::shared_ptr<net::CancelSignal> cancel;
};

/// Client of plain HTTP services.
class ServiceClient
{
public:
  /// `onRate` is called with the request rates that the services state.
  explicit ServiceClient(net::HttpClient& http, RateHook onRate = {});

  /// Sends a call and returns its outcome. The verdict is Done for any complete
  /// response, also with an error status; the outcome then contains the status
  /// and the content type. The verdict is NotRun if no byte was written
  /// (reasons as for EngineClient::generate()) or if the call cannot be written
  /// as an HTTP request (reason "bad_request"). Otherwise it is Unknown.
  net::Awaitable<core::Outcome> call(core::Endpoint service, ServiceCall call);

private:
  net::HttpClient& mHttp;
  RateHook mOnRate;
};

} // namespace lentilrack::backends
