#pragma once

#include "core/endpoint.h"
#include "core/work.h"
#include "net/http_client.h"

#include <functional>
#include <memory>
#include <string>

namespace lentilrack::backends {

struct ServiceCall
{
  core::CallContent content;
  /// Sent as Idempotency-Key; the service may ignore it.
  std::string requestId;
  core::Millis timeout{ 5000 };
  std::function<bool()> beforeFirstByte;
  std::function<void(core::Chunk)> onChunk;
  std::shared_ptr<net::CancelSignal> cancel;
};

/// Client of plain services.
class ServiceClient
{
public:
  explicit ServiceClient(net::HttpClient& http);

  /// Done with status and content type for any whole answer, whatever its
  /// status; NotRun and Unknown as EngineClient::generate(), and NotRun
  /// "bad_request" if the call cannot be written as an HTTP request.
  net::Awaitable<core::Outcome> call(core::Endpoint service, ServiceCall call);

private:
  net::HttpClient& mHttp;
};

} // namespace lentilrack::backends
