#pragma once

#include "dispatch/dispatch_app.h"
#include "standins/fleet.h"
#include "wire/messages.h"
#include "wire/table_codec.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace lentilrack::dispatch {

/// Runs a dispatcher and simulated backend servers in one process. The tests
/// send requests to the dispatcher over a link, as an entry process does.
class DispatchFixture : public ::testing::Test
{
protected:
  static constexpr const char* kSecret = "test secret";

  explicit DispatchFixture(standins::FleetConfig config)
    : mFleet(mIo, std::move(config))
  {
    node::NodeSettings settings;
    settings.role = core::MemberRole::Dispatch;
    settings.name = "etna-1";
    settings.failureDomain = "etna";
    settings.linkSecret = kSecret;
    settings.kv = { mFleet.kv().server().endpoint() };
    settings.instanceList = mFleet.instanceList().server().endpoint();
    mNode = std::make_unique<node::Node>(mIo, settings);
    DispatchOptions options;
    options.monitor.reportPeriod = core::Millis(50);
    options.scheduler.servers.slowStartTime = core::Millis(0);
    mApp = std::make_unique<DispatchApp>(*mNode, options);
  }

  /// Starts the dispatcher, runs the test's coroutine and stops the io_context.
  template<typename Function>
  void run(Function function)
  {
    bool finished = false;
    const auto startAndRun = [&]() -> net::Awaitable<void> {
      co_await start();
      co_await function();
    };
    net::asio::co_spawn(
      mIo, startAndRun(), [&](const std::exception_ptr& thrown) {
        finished = true;
        mIo.stop();
        if (thrown) {
          std::rethrow_exception(thrown);
        }
      });
    mIo.run();
    ASSERT_TRUE(finished);
  }

  /// Stores a table, starts the dispatcher and waits until it owns all servers
  /// and has a load report of each engine.
  net::Awaitable<void> start()
  {
    core::Table table;
    table.revision = 1;
    core::Principal caller;
    caller.name = "caller";
    caller.tokenHash = core::hashToken("test token");
    table.principals["caller"] = caller;
    backends::KvPut put;
    put.key = "config/table";
    put.value = wire::encode(table);
    const auto written = co_await mNode->kv().put(std::move(put));
    EXPECT_TRUE(written);
    const bool started = co_await mNode->start();
    EXPECT_TRUE(started);
    mApp->start();
    const auto engines = mFleet.engines().size();
    const auto services = mFleet.services().size();
    for (;;) {
      const auto owned = mApp->servers().owned();
      const auto reported =
        std::ranges::count_if(owned, [](const core::ServerState* state) {
          return state->report.has_value();
        });
      if (owned.size() == engines + services &&
          static_cast<std::size_t>(reported) == engines) {
        break;
      }
      co_await net::sleepFor(core::Millis(10));
    }
    mLink = connect();
  }

  std::unique_ptr<net::LinkClient> connect()
  {
    const net::LinkIdentity identity{ { "test/entry", 7 }, kSecret };
    return std::make_unique<net::LinkClient>(
      mIo, identity, mNode->members().self().link);
  }

  wire::DispatchRequest order(std::string request, std::int64_t tokens = 10)
  {
    wire::DispatchRequest dispatchRequest;
    dispatchRequest.attempt = { std::move(request), 1 };
    dispatchRequest.dispatcher = mNode->self();
    dispatchRequest.work.principal = "caller";
    dispatchRequest.work.kind = "k";
    dispatchRequest.work.target = "m";
    dispatchRequest.work.prompt = "prompt";
    dispatchRequest.work.maxTokens = tokens;
    dispatchRequest.remaining = core::Millis(20'000);
    return dispatchRequest;
  }

  /// Sends the request and waits for its outcome. Appends the answer to
  /// `mAnswerText`.
  net::Awaitable<core::Outcome> send(wire::DispatchRequest request)
  {
    net::LinkCallOptions options;
    options.timeout = core::Millis(30'000);
    options.cancel = mCancel;
    options.onEvent = [this](const wire::Json& event) {
      const auto chunk = wire::decode<core::Chunk>(event);
      EXPECT_TRUE(chunk);
      mAnswerText += chunk.value().text;
    };
    auto body = wire::encode(request);
    const auto reply =
      co_await mLink->call("dispatch", std::move(body), std::move(options));
    core::Outcome outcome;
    outcome.reason = "no_reply";
    if (!reply.error) {
      outcome = wire::decode<wire::DispatchReply>(reply.body).value().outcome;
    }
    mOutcomes.push_back(outcome);
    co_return outcome;
  }

  net::Awaitable<void> sendIgnoringOutcome(wire::DispatchRequest request)
  {
    co_await send(std::move(request));
  }

  net::Awaitable<std::optional<wire::BarReply>> bar(std::string request)
  {
    const wire::BarRequest message{ std::move(request), mNode->self() };
    auto body = wire::encode(message);
    const auto reply = co_await mLink->call("bar", std::move(body));
    if (reply.error) {
      co_return std::nullopt;
    }
    co_return wire::decode<wire::BarReply>(reply.body).value();
  }

  net::Awaitable<void> control(standins::StandinServer& server, wire::Json body)
  {
    net::HttpCall call;
    call.endpoint = server.endpoint();
    call.request = { "POST", "/control", {}, body.dump() };
    const auto result = co_await mNode->http().call(std::move(call));
    EXPECT_TRUE(result.isSuccess());
  }

  /// Waits until the condition holds. If it never holds, the time limit of the
  /// test program ends the wait.
  template<typename Condition>
  net::Awaitable<void> waitUntil(Condition condition)
  {
    while (!condition()) {
      co_await net::sleepFor(core::Millis(5));
    }
  }

  net::Awaitable<void> waitForRuns(std::size_t count)
  {
    const auto reached = [this, count] { return runs() >= count; };
    co_await waitUntil(reached);
  }

  net::Awaitable<void> waitForOutcomes(std::size_t count)
  {
    const auto reached = [this, count] { return mOutcomes.size() >= count; };
    co_await waitUntil(reached);
  }

  std::size_t runs() const
  {
    std::size_t count = 0;
    for (const auto& engine : mFleet.engines()) {
      count += engine->runs().size();
    }
    return count;
  }

  net::asio::io_context mIo;
  mutable standins::Fleet mFleet;
  std::unique_ptr<node::Node> mNode;
  std::unique_ptr<DispatchApp> mApp;
  std::unique_ptr<net::LinkClient> mLink;
  std::shared_ptr<net::CancelSignal> mCancel =
    std::make_shared<net::CancelSignal>();
  /// Text of all answers to send().
  std::string mAnswerText;
  std::vector<core::Outcome> mOutcomes;
};

} // namespace lentilrack::dispatch
