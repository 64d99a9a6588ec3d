#pragma once

#include "net/asio.h"
#include "standins/standin_server.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace lentilrack::standins {

/// Body of POST /v1/generate.
struct GenerateRequest
{
  std::string attempt;
  std::string model;
  std::string prompt;
  std::string prefix;
  std::int64_t maxTokens = 0;
  std::int64_t offset = 0;
  std::int64_t priority = 5;
  std::int64_t fencing = 0;
  std::optional<std::int64_t> version;
};

GenerateRequest
readGenerateRequest(wire::ObjectReader& reader);

/// Stops a request that waits for a slot or runs.
class RunControl
{
public:
  explicit RunControl(net::asio::io_context& io)
    : mTimer(io)
  {
  }

  void stop()
  {
    mStopped = true;
    wake();
  }
  bool isStopped() const { return mStopped; }
  /// Ends the present wait.
  void wake() { mTimer.cancel(); }
  net::Awaitable<void> wait(core::Clock::duration duration);

  /// Set when a slot has been given.
  bool isGranted = false;

private:
  net::asio::steady_timer mTimer;
  bool mStopped = false;
};

/// The slots of an engine; requests wait for one by priority, then in order of
/// arrival.
class EngineSlots
{
public:
  explicit EngineSlots(std::int64_t slots)
    : mSlots(slots)
  {
  }

  /// False if the request was stopped while it waited.
  net::Awaitable<bool> acquire(std::int64_t priority,
                               std::shared_ptr<RunControl> control);
  void release();

  std::int64_t slots() const { return mSlots; }
  std::int64_t running() const { return mRunning; }
  std::int64_t queued() const
  {
    return static_cast<std::int64_t>(mQueue.size());
  }

private:
  using QueueKey = std::pair<std::int64_t, std::uint64_t>;

  std::int64_t mSlots;
  std::int64_t mRunning = 0;
  std::uint64_t mLastArrival = 0;
  std::map<QueueKey, std::shared_ptr<RunControl>> mQueue;
};

/// What an engine really ran of one request.
struct EngineRun
{
  std::string attempt;
  std::string prompt;
  std::int64_t offset = 0;
  /// In the order in which they produced tokens.
  std::vector<std::int64_t> versions;
  std::int64_t tokens = 0;
  bool finished = false;

  wire::Json json() const;
};

} // namespace lentilrack::standins
