#pragma once

#include "backends/kv_client.h"
#include "net/asio.h"
#include "net/log.h"

#include <cstdint>
#include <map>
#include <string>

namespace lentilrack::dispatch {

/// Holds the fencing numbers of the owned servers. They are stored under
/// `fence/<server>` in the key-value service. No guarantee depends on them:
/// they only let a server that checks them refuse work from an earlier owner.
class Fencing
{
public:
  Fencing(backends::KvClient& kv, net::Logger log);

  /// Raises the number of a server by compare-and-swap. Returns false and keeps
  /// the last known number if the key-value service is not available or other
  /// dispatchers keep raising the number too.
  net::Awaitable<bool> raise(std::string server);

  /// Returns the number to send to the server; 0 if none is known.
  std::int64_t number(const std::string& server) const;

private:
  backends::KvClient& mKv;
  net::Logger mLog;
  std::map<std::string, std::int64_t> mNumbers;
};

} // namespace lentilrack::dispatch
