#pragma once

#include "standins/standin_server.h"

#include <deque>
#include <list>
#include <map>
#include <memory>

namespace lentilrack::standins {

/// Stand-in of the weight store, which limits the rate of reads. Its ledger
/// lists the reads.
class WeightStoreStandin
{
public:
  struct Options
  {
    /// Newest version by model; all versions from 1 up to it can be read.
    std::map<std::string, std::int64_t> models;
    std::int64_t chunks = 4;
    std::int64_t chunkBytes = 65536;
    std::int64_t readsPerSecond = 50;
    Microseconds networkDelay{ 0 };
  };

  struct Read
  {
    std::string model;
    std::int64_t version = 0;
    std::int64_t chunk = 0;
  };

  WeightStoreStandin(net::asio::io_context& io, Options options);

  StandinServer& server() { return mServer; }
  const StandinServer& server() const { return mServer; }
  const std::deque<Read>& reads() const { return mReads; }
  /// Publishes a version and wakes the calls that wait for one. Ignores a
  /// version that is older than the current one.
  void announce(const std::string& model, std::int64_t version);

private:
  struct Waiter;

  net::Awaitable<void> versions(net::HttpExchange& exchange);
  net::Awaitable<void> chunk(net::HttpExchange& exchange);
  net::Awaitable<void> handleAnnounce(net::HttpExchange& exchange);
  /// Returns 0 if the model is unknown.
  std::int64_t newestVersion(const std::string& model) const;
  /// Takes one read from the rate limit. Returns false if none is left.
  bool consumeReadToken(core::TimePoint now);
  std::string makeChunkData(const Read& read) const;
  wire::Json ledger() const;

  Options mOptions;
  StandinServer mServer;
  std::list<std::shared_ptr<Waiter>> mWaiters;
  std::deque<Read> mReads;
  std::int64_t mRateLimitedReads = 0;
  /// Reads that the rate limit allows at mLastRefill (a token bucket); at most
  /// the reads of one second.
  double mReadTokens;
  core::TimePoint mLastRefill;
};

} // namespace lentilrack::standins
