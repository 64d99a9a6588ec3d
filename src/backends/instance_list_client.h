#pragma once

#include "core/backend_server.h"
#include "core/result.h"
#include "net/http_client.h"

#include <vector>

namespace lentilrack::backends {

/// Client of the platform's list of live and leaving instances. The platform
/// updates the list with a delay, so a listed instance may no longer exist.
class InstanceListClient
{
public:
  InstanceListClient(net::HttpClient& http, core::Endpoint endpoint);

  /// Returns all listed instances. BadResponse if any entry is malformed.
  net::Awaitable<core::Result<std::vector<core::BackendServer>>> fetch();

private:
  net::HttpClient& mHttp;
  core::Endpoint mEndpoint;
};

} // namespace lentilrack::backends
