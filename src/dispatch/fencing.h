#pragma once

#include "backends/kv_client.h"
#include "net/asio.h"
#include "net/log.h"

#include <cstdint>
#include <map>
#include <string>

namespace lentilrack::dispatch {

/// Holds this dispatcher's fencing numbers for the owned servers. The numbers
/// are stored under `fence/<server>` in the key-value service. A server that
/// checks fencing numbers refuses work with a lower number, which comes from an
/// earlier owner. No guarantee of the system depends on this check.
class Fencing
{
public:
  Fencing(backends::KvClient& kv, net::Logger log);

  /// Raises the fencing number of a server by compare-and-swap. Returns false
  /// and keeps the last known number if the key-value service is not available
  /// or other dispatchers keep raising the number at the same time.
  net::Awaitable<bool> raise(std::string server);

  /// Returns the fencing number to send to the server; 0 if none is known.
  std::int64_t number(const std::string& server) const;

private:
  backends::KvClient& mKv;
  net::Logger mLog;
  /// Last known fencing number of each server.
  std::map<std::string, std::int64_t> mFencingNumbers;
};

} // namespace lentilrack::dispatch
