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

/// Reads the fields of the request; throws wire::DecodeException if one is
/// missing or out of range.
GenerateRequest
readGenerateRequest(wire::ObjectReader& reader);

/// Lets other coroutines stop or wake the coroutine of one request while it
/// waits for a slot or generates tokens.
class RunControl
{
public:
  explicit RunControl(net::asio::io_context& io)
    : mTimer(io)
  {
  }

  /// Stops the request and ends its current wait.
  void stop()
  {
    mStopped = true;
    wake();
  }
  /// True once stop() was called.
  bool isStopped() const { return mStopped; }
  /// Ends the current wait early.
  void wake() { mTimer.cancel(); }
  /// Suspends until the duration has passed or another coroutine calls wake()
  /// or stop(). Returns at once if the request was already stopped.
  net::Awaitable<void> wait(core::Clock::duration duration);

  /// Set when the request has been given a slot.
  bool isGranted = false;

private:
  net::asio::steady_timer mTimer;
  bool mStopped = false;
};

/// The slots of an engine. Waiting requests get a slot by priority, lowest
/// number first, and in order of arrival within a priority.
class EngineSlots
{
public:
  explicit EngineSlots(std::int64_t slots)
    : mSlots(slots)
  {
  }

  /// Waits for a slot. Returns false if the request was stopped before it got
  /// one.
  net::Awaitable<bool> acquire(std::int64_t priority,
                               std::shared_ptr<RunControl> control);
  /// Frees a slot and gives it to the next waiting request.
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

/// What an engine ran of one request. GET /ledger lists these records.
struct EngineRun
{
  std::string attempt;
  std::string prompt;
  std::int64_t offset = 0;
  /// Weight versions that generated tokens, in order of use.
  std::vector<std::int64_t> versions;
  std::int64_t tokens = 0;
  bool finished = false;

  /// Returns the record in the format of GET /ledger.
  wire::Json json() const;
};

} // namespace lentilrack::standins
