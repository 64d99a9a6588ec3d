#pragma once

#include "standins/standin_server.h"

#include <deque>
#include <string_view>

namespace lentilrack::standins {

/// Stand-in of a trainer's scoring service. Its ledger lists the samples that
/// it scored.
class ScorerStandin
{
public:
  struct Options
  {
    std::string id;
    core::Millis workTime{ 2 };
    Microseconds networkDelay{ 0 };
  };

  struct Sample
  {
    std::string prompt;
    std::string text;
  };

  ScorerStandin(net::asio::io_context& io, Options options);

  StandinServer& server() { return mServer; }
  const Options& options() const { return mOptions; }
  const std::deque<Sample>& samples() const { return mSamples; }

  /// Returns the score of a sample, in [0, 1). The score depends only on the
  /// prompt and the text.
  static double scoreOf(std::string_view prompt, std::string_view text);

private:
  net::Awaitable<void> score(net::HttpExchange& exchange);
  wire::Json ledger() const;

  Options mOptions;
  StandinServer mServer;
  std::deque<Sample> mSamples;
};

} // namespace lentilrack::standins
