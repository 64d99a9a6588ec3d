#pragma once

#include "standins/standin_server.h"

#include <deque>

namespace lentilrack::standins {

/// Stand-in of a plain service. It runs every call, even if an earlier one had
/// the same Idempotency-Key, and its ledger lists all calls. Tests can thus
/// detect repeated calls.
class ServiceStandin
{
public:
  struct Options
  {
    std::string id;
    std::string service;
    core::Millis workTime{ 2 };
    Microseconds networkDelay{ 0 };
  };

  struct Call
  {
    std::string requestId;
    std::string method;
    std::string path;
    std::string body;
  };

  ServiceStandin(net::asio::io_context& io, Options options);

  StandinServer& server() { return mServer; }
  const Options& options() const { return mOptions; }
  const std::deque<Call>& calls() const { return mCalls; }

private:
  net::Awaitable<void> call(net::HttpExchange& exchange);
  wire::Json ledger() const;

  Options mOptions;
  StandinServer mServer;
  std::deque<Call> mCalls;
};

} // namespace lentilrack::standins
