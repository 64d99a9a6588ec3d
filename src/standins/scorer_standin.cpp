#include "standins/scorer_standin.h"

#include <xxhash.h>

namespace lentilrack::standins {

namespace {

std::vector<ScorerStandin::Sample>
readSamples(wire::ObjectReader& reader)
{
  std::vector<ScorerStandin::Sample> samples;
  for (const auto& item : reader.required<std::vector<wire::Json>>("samples")) {
    wire::ObjectReader sample(item, "samples");
    samples.push_back({ sample.required<std::string>("prompt"),
                        sample.required<std::string>("text") });
    sample.rejectUnknownFields();
  }
  return samples;
}

} // namespace

ScorerStandin::ScorerStandin(net::asio::io_context& io, Options options)
  : mOptions(std::move(options))
  , mServer(io, mOptions.id, mOptions.networkDelay)
{
  mServer.route("POST", "/score", [this](net::HttpExchange& exchange) {
    return score(exchange);
  });
  mServer.onLedger([this] { return ledger(); });
}

double
ScorerStandin::scoreOf(std::string_view prompt, std::string_view text)
{
  constexpr std::uint64_t kScoreSteps = 1'000'000;
  const auto seed = XXH64(prompt.data(), prompt.size(), 0);
  const auto hash = XXH64(text.data(), text.size(), seed);
  return static_cast<double>(hash % kScoreSteps) /
         static_cast<double>(kScoreSteps);
}

net::Awaitable<void>
ScorerStandin::score(net::HttpExchange& exchange)
{
  const auto samples = decodeBody(exchange.request().body, readSamples);
  if (!samples) {
    co_await mServer.replyBadRequest(exchange, samples.error());
    co_return;
  }
  const auto time = mOptions.workTime * mServer.faults().slowFactor;
  co_await pauseFor(std::chrono::duration_cast<Microseconds>(time));
  auto scores = wire::Json::array();
  for (const auto& sample : samples.value()) {
    scores.push_back(scoreOf(sample.prompt, sample.text));
    mSamples.push_back(sample);
  }
  wire::Json answer = { { "scores", std::move(scores) } };
  co_await mServer.replyUnlessLost(exchange, 200, std::move(answer));
}

wire::Json
ScorerStandin::ledger() const
{
  auto samples = wire::Json::array();
  for (const auto& sample : mSamples) {
    samples.push_back({ { "prompt", sample.prompt }, { "text", sample.text } });
  }
  return { { "samples", std::move(samples) } };
}

} // namespace lentilrack::standins
