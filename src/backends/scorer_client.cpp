#include "backends/scorer_client.h"

#include "backends/http_json.h"

namespace lentilrack::backends {

ScorerClient::ScorerClient(net::HttpClient& http, RateHook onRate)
  : mHttp(http)
  , mOnRate(std::move(onRate))
{
}

net::Awaitable<core::Result<std::vector<double>>>
ScorerClient::score(core::Endpoint scorer,
                    std::vector<ScoreItem> items,
                    core::Millis timeout)
{
  auto samples = wire::Json::array();
  for (const auto& item : items) {
    samples.push_back({ { "prompt", item.prompt }, { "text", item.text } });
  }
  const wire::Json body = { { "samples", std::move(samples) } };
  auto call = jsonCall(std::move(scorer), "/score", body, timeout);
  // A response does not name its request. On a connection that is used again, a
  // late second copy of a response would be taken for the next one.
  call.useNewConnection = true;
  reportStatedRate(call, mOnRate);
  const auto result = co_await mHttp.call(std::move(call));
  if (const auto error = responseError(result)) {
    co_return error;
  }
  auto scores =
    decodeResponse(result.response.body, [](wire::ObjectReader& reader) {
      return reader.required<std::vector<double>>("scores");
    });
  const bool isComplete = scores && scores.value().size() == items.size();
  if (!isComplete) {
    co_return make_error_code(BackendError::BadResponse);
  }
  co_return std::move(scores).value();
}

} // namespace lentilrack::backends
