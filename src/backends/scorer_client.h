#pragma once

#include "core/endpoint.h"
#include "core/result.h"
#include "net/http_client.h"

#include <string>
#include <vector>

namespace lentilrack::backends {

struct ScoreItem
{
  std::string prompt;
  std::string text;
};

/// Client of a trainer's scoring service.
class ScorerClient
{
public:
  explicit ScorerClient(net::HttpClient& http);

  /// One score for each item. Errors: Unavailable, BadResponse, Refused.
  net::Awaitable<core::Result<std::vector<double>>> score(
    core::Endpoint scorer,
    std::vector<ScoreItem> items,
    core::Millis timeout);

private:
  net::HttpClient& mHttp;
};

} // namespace lentilrack::backends
