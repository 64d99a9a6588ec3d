#include "dispatch/fencing.h"

#include "backends/error.h"

namespace lentilrack::dispatch {

namespace {

/// Maximum number of writes in one call of raise(). More conflicts in a row
/// mean that two dispatchers alternate as owner; ServerMonitor retries later.
constexpr int kMaxAttempts = 5;

} // namespace

Fencing::Fencing(backends::KvClient& kv, net::Logger log)
  : mKv(kv)
  , mLog(std::move(log))
{
}

net::Awaitable<bool>
Fencing::raise(std::string server)
{
  const auto key = "fence/" + server;
  for (int i = 0; i < kMaxAttempts; ++i) {
    const auto current = co_await mKv.read(key);
    const bool isAbsent =
      !current &&
      current.error() == make_error_code(backends::BackendError::NotFound);
    if (!current && !isAbsent) {
      co_return false;
    }
    std::int64_t last = 0;
    std::int64_t revision = 0;
    if (current) {
      const auto& value = current.value().value;
      last = value.is_number_integer() ? value.get<std::int64_t>() : 0;
      revision = current.value().revision;
    }
    auto& number = mFencingNumbers[server];
    const auto raised = std::max(last, number) + 1;
    backends::KvPut put;
    put.key = key;
    put.value = raised;
    put.expectedRevision = revision;
    const auto written = co_await mKv.put(std::move(put));
    if (written) {
      mFencingNumbers[server] = raised;
      co_return true;
    }
    // A conflict means that another dispatcher raised the number first. After a
    // write with an unknown outcome, the next attempt reads the number again;
    // if the write took effect, the number is raised twice, which is harmless.
    mFencingNumbers[server] = std::max(mFencingNumbers[server], last);
    if (written.error() ==
        make_error_code(backends::BackendError::Unavailable)) {
      co_return false;
    }
  }
  mLog.warning("Cannot raise the fencing number of server {}.", server);
  co_return false;
}

std::int64_t
Fencing::number(const std::string& server) const
{
  const auto found = mFencingNumbers.find(server);
  return found == mFencingNumbers.end() ? 0 : found->second;
}

} // namespace lentilrack::dispatch
