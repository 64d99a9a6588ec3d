#pragma once

#include "backends/stated_rate.h"
#include "core/endpoint.h"
#include "core/result.h"
#include "net/http_client.h"

#include <string>
#include <vector>

namespace lentilrack::backends {

/// A prompt and a generated text to score.
struct ScoreItem
{
  std::string prompt;
  std::string text;
};

/// Client of a trainer's scoring service.
class ScorerClient
{
public:
  /// `onRate` is called with the request rates that the scorers state.
  explicit ScorerClient(net::HttpClient& http, RateHook onRate = {});

  /// Returns one score for each item, in the same order. Errors: Unavailable,
  /// BadResponse, Refused.
  net::Awaitable<core::Result<std::vector<double>>> score(
    core::Endpoint scorer,
    std::vector<ScoreItem> items,
    core::Millis timeout);

private:
  net::HttpClient& mHttp;
  RateHook mOnRate;
};

} // namespace lentilrack::backends
