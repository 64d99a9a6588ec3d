#include "node/process.h"

#include "core/drain.h"

#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>

#include <csignal>

namespace lentilrack::node {

using net::Awaitable;

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitAborted = 3;
constexpr core::Millis kLeaveNotice{ 1500 };
constexpr core::Millis kDrainPoll{ 50 };

class Process
{
public:
  Process(net::asio::io_context& io, Node& node, ProcessCallbacks callbacks)
    : mIo(io)
    , mNode(node)
    , mCallbacks(std::move(callbacks))
    , mSignals(io, SIGTERM, SIGINT, SIGUSR1)
    , mDrain(kLeaveNotice)
  {
  }

  int run()
  {
    net::spawn(mIo, start());
    net::spawn(mIo, signalLoop());
    mIo.run();
    return mExitCode;
  }

private:
  Awaitable<void> start()
  {
    const bool isStarted = co_await mNode.start();
    if (!isStarted) {
      exitWith(kExitFailed);
    } else if (mCallbacks.onStarted) {
      mCallbacks.onStarted();
    }
  }

  Awaitable<void> signalLoop()
  {
    for (;;) {
      boost::system::error_code error;
      const int signal = co_await mSignals.async_wait(
        net::asio::redirect_error(net::asio::use_awaitable, error));
      if (error) {
        co_return;
      }
      if (signal == SIGUSR1) {
        fmt::print(stderr, "{}\n", mNode.dump().dump(2));
      } else if (!mDrain.hasBegun()) {
        net::spawn(mIo, drain());
      } else {
        abortWork();
        co_return;
      }
    }
  }

  std::vector<std::string> listInFlight() const
  {
    return mCallbacks.listInFlight ? mCallbacks.listInFlight()
                                   : std::vector<std::string>{};
  }

  Awaitable<void> drain()
  {
    mNode.log().info("Draining.");
    mDrain.startDraining(core::Clock::now());
    if (mCallbacks.onDrain) {
      mCallbacks.onDrain();
    }
    co_await mNode.announceLeaving();
    while (!mDrain.canExit(listInFlight().size() +
                             mNode.httpServer().activeExchanges(),
                           core::Clock::now())) {
      co_await net::sleepFor(kDrainPoll);
    }
    mNode.log().info("Drained; no work was aborted.");
    exitWith(0);
  }

  void abortWork()
  {
    const auto work = listInFlight();
    mNode.log().warning(
      "Exiting immediately; aborting {} work items in flight.", work.size());
    for (const auto& line : work) {
      mNode.log().warning("Aborted: {}", line);
    }
    exitWith(kExitAborted);
  }

  void exitWith(int exitCode)
  {
    mExitCode = exitCode;
    mIo.stop();
  }

  net::asio::io_context& mIo;
  Node& mNode;
  ProcessCallbacks mCallbacks;
  net::asio::signal_set mSignals;
  core::Drain mDrain;
  int mExitCode = 0;
};

} // namespace

int
runProcess(net::asio::io_context& io, Node& node, ProcessCallbacks callbacks)
{
  return Process(io, node, std::move(callbacks)).run();
}

} // namespace lentilrack::node
