#pragma once

#include "backends/kv_client.h"
#include "net/asio.h"
#include "net/log.h"

#include <cstdint>
#include <map>
#include <string>

namespace lentilrack::dispatch {

/// Fencing numbers of the owned servers, kept under `fence/<server>` in the
/// key-value service. Nothing relies on them for safety: they only make a
/// checking server refuse an earlier owner's orders.
class Fencing
{
public:
  Fencing(backends::KvClient& kv, net::Logger log);

  /// Raises the number of a server by compare-and-swap. Without the key-value
  /// service the last known number stays. Returns whether it was raised.
  net::Awaitable<bool> raise(std::string server);

  /// The number to send; 0 if none is known.
  std::int64_t number(const std::string& server) const;

private:
  backends::KvClient& mKv;
  net::Logger mLog;
  std::map<std::string, std::int64_t> mNumbers;
};

} // namespace lentilrack::dispatch
