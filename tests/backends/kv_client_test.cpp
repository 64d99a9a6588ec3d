#include "backends/backend_fixture.h"
#include "backends/error.h"
#include "backends/kv_client.h"
#include "standins/kv_standin.h"

namespace lentilrack::backends {

namespace {

using core::Millis;
using net::Awaitable;
using standins::KvStandin;

class KvClientTest : public BackendTest
{
protected:
  KvClientTest() { mKv.server().listen(); }

  KvClientOptions options() const
  {
    KvClientOptions options;
    options.endpoints = { mKv.server().endpoint() };
    options.callsPerSecond = 1000;
    options.initialBackoff = Millis(1);
    options.maxBackoff = Millis(2);
    options.seed = 1;
    return options;
  }

  static KvPut write(
    std::string key,
    int value,
    std::optional<std::int64_t> expectedRevision = std::nullopt)
  {
    KvPut put;
    put.key = std::move(key);
    put.value = value;
    put.expectedRevision = expectedRevision;
    return put;
  }

  /// Writes a key and expects the write to succeed.
  static Awaitable<void> writeOrFail(KvClient& client, KvPut put)
  {
    const auto revision = co_await client.put(std::move(put));
    EXPECT_TRUE(revision);
  }

  /// Starts a read whose result is added to `errors`.
  static Awaitable<void> readInto(KvClient& client,
                                  std::vector<std::error_code>& errors)
  {
    const auto result = co_await client.read("a");
    errors.push_back(errorOf(result));
  }

  KvStandin mKv{ mIo, {} };
};

} // namespace

TEST_F(KvClientTest, CompareAndSwapReadAndList)
{
  KvClient client(mIo, options());
  run([&]() -> Awaitable<void> {
    const auto created = co_await client.put(write("config/a b+%", 1, 0));
    EXPECT_EQ(created.value(), 1);
    const auto again = co_await client.put(write("config/a b+%", 2, 0));
    EXPECT_EQ(errorOf(again), BackendError::Conflict);
    const auto swapped = co_await client.put(write("config/a b+%", 3, 1));
    EXPECT_EQ(swapped.value(), 2);
    co_await writeOrFail(client, write("other", 9));
    const auto entry = co_await client.read("config/a b+%");
    EXPECT_EQ(entry.value().value, 3);
    EXPECT_EQ(entry.value().revision, 2);
    const auto list = co_await client.list("config/");
    EXPECT_EQ(list.value().size(), 1U);
    EXPECT_EQ(list.value().at(0).key, "config/a b+%");
    const auto removed = co_await client.remove("other");
    EXPECT_FALSE(removed);
    const auto missing = co_await client.read("other");
    EXPECT_EQ(errorOf(missing), BackendError::NotFound);
    EXPECT_TRUE(client.isAvailable());
  });
}

// Guards against reporting a write as failed when it took effect and only the
// response was lost.
TEST_F(KvClientTest, LostReplyOfAWriteIsOutcomeUnknown)
{
  KvClient client(mIo, options());
  run([&]() -> Awaitable<void> {
    co_await control(mKv.server(), R"({"lose_replies":1})");
    const auto put = co_await client.put(write("a", 1, 0));
    EXPECT_EQ(errorOf(put), BackendError::OutcomeUnknown);
    EXPECT_FALSE(client.isAvailable());
    const auto entry = co_await client.read("a");
    EXPECT_EQ(entry.value().value, 1);
    EXPECT_EQ(client.callCount(), 2U);
  });
}

// Guards against reporting a write as not executed, or sending it twice, when
// the service is slow.
TEST_F(KvClientTest, TimedOutWriteIsOutcomeUnknownAndSentOnce)
{
  auto slowOptions = options();
  slowOptions.timeout = Millis(50);
  slowOptions.endpoints.push_back(mKv.server().endpoint());
  KvClient client(mIo, slowOptions);
  run([&]() -> Awaitable<void> {
    co_await control(mKv.server(), R"({"latency_ms":300})");
    const auto put = co_await client.put(write("a", 1, 0));
    EXPECT_EQ(errorOf(put), BackendError::OutcomeUnknown);
    EXPECT_EQ(client.callCount(), 1U);
    const auto read = co_await client.read("a");
    EXPECT_EQ(errorOf(read), BackendError::Unavailable);
    EXPECT_EQ(client.callCount(), 3U);
  });
}

// Guards against reporting OutcomeUnknown when no byte of a write was sent.
TEST_F(KvClientTest, RefusedConnectionIsUnavailable)
{
  auto closedOptions = options();
  closedOptions.endpoints = { closedEndpoint() };
  KvClient client(mIo, closedOptions);
  run([&]() -> Awaitable<void> {
    const auto put = co_await client.put(write("a", 1));
    EXPECT_EQ(errorOf(put), BackendError::Unavailable);
    EXPECT_FALSE(client.isAvailable());
  });
}

// Guards against calls that fail because one of several endpoints is down.
TEST_F(KvClientTest, NextEndpointIsUsedWhenOneIsDown)
{
  auto twoEndpoints = options();
  twoEndpoints.endpoints.insert(twoEndpoints.endpoints.begin(),
                                closedEndpoint());
  KvClient client(mIo, twoEndpoints);
  run([&]() -> Awaitable<void> {
    const auto put = co_await client.put(write("a", 1));
    EXPECT_EQ(put.value(), 1);
    const auto read = co_await client.read("a");
    EXPECT_EQ(read.value().value, 1);
    // The write tried both endpoints; the read uses the working one directly.
    EXPECT_EQ(client.callCount(), 3U);
  });
}

// Guards against skipping the endpoint that responds when many calls fail at
// the same time at the other one.
TEST_F(KvClientTest, SimultaneousCallsAllFindTheLiveEndpoint)
{
  auto twoEndpoints = options();
  twoEndpoints.endpoints.insert(twoEndpoints.endpoints.begin(),
                                closedEndpoint());
  KvClient client(mIo, twoEndpoints);
  run([&]() -> Awaitable<void> {
    std::vector<std::error_code> errors;
    for (int i = 0; i < 20; ++i) {
      net::spawn(mIo, readInto(client, errors));
    }
    while (errors.size() < 20) {
      co_await net::sleepFor(Millis(1));
    }
    EXPECT_EQ(std::ranges::count(errors, BackendError::NotFound), 20);
  });
}

// Guards against reporting success or failure of a write when the response does
// not show which of them happened.
TEST_F(KvClientTest, MalformedResponseToAWriteIsOutcomeUnknown)
{
  run([&]() -> Awaitable<void> {
    for (const auto& response : { fixedResponse(200, "{\"revision\":\"1\"}"),
                                  fixedResponse(200, "not json"),
                                  fixedResponse(500, "{}") }) {
      FixedServer server(mIo, response);
      auto fixedOptions = options();
      fixedOptions.endpoints = { server.endpoint() };
      KvClient client(mIo, fixedOptions);
      const auto put = co_await client.put(write("a", 1));
      EXPECT_EQ(errorOf(put), BackendError::OutcomeUnknown);
    }
  });
}

TEST_F(KvClientTest, MalformedResponseToAReadIsBadResponse)
{
  FixedServer server(mIo, fixedResponse(200, R"({"value":1})"));
  auto fixedOptions = options();
  fixedOptions.endpoints = { server.endpoint() };
  KvClient client(mIo, fixedOptions);
  run([&]() -> Awaitable<void> {
    const auto read = co_await client.read("a");
    EXPECT_EQ(errorOf(read), BackendError::BadResponse);
  });
}

// Guards against a process that continues to use an expired lease: renewals and
// writes with it must fail, and its keys must be gone.
TEST_F(KvClientTest, ExpiredLeaseDeletesItsKeys)
{
  KvClient client(mIo, options());
  run([&]() -> Awaitable<void> {
    const auto lease = co_await client.grantLease(Millis(60'000));
    auto put = write("member/a", 1);
    put.lease = lease.value();
    const auto first = co_await client.put(put);
    EXPECT_TRUE(first);
    const auto renewed = co_await client.renewLease(lease.value());
    EXPECT_FALSE(renewed);
    co_await control(mKv.server(), R"({"lapse_leases":true})");
    const auto expired = co_await client.renewLease(lease.value());
    EXPECT_EQ(expired, BackendError::NotFound);
    const auto read = co_await client.read("member/a");
    EXPECT_EQ(errorOf(read), BackendError::NotFound);
    const auto second = co_await client.put(put);
    EXPECT_EQ(errorOf(second), BackendError::NotFound);
  });
}

// Guards against a lease that can still be renewed after its time to live.
TEST_F(KvClientTest, LeaseExpiresWithoutRenewal)
{
  KvClient client(mIo, options());
  run([&]() -> Awaitable<void> {
    const auto lease = co_await client.grantLease(Millis(1));
    co_await net::sleepFor(Millis(5));
    const auto expired = co_await client.renewLease(lease.value());
    EXPECT_EQ(expired, BackendError::NotFound);
  });
}

// Guards against missing a change that was made before the watch started.
TEST_F(KvClientTest, WatchReturnsAChangeMadeBeforeIt)
{
  KvClient client(mIo, options());
  run([&]() -> Awaitable<void> {
    co_await writeOrFail(client, write("a", 1));
    co_await writeOrFail(client, write("a", 2));
    co_await writeOrFail(client, write("a", 3));
    const auto changed = co_await client.watch("a", 1, Millis(60'000));
    EXPECT_EQ(changed.value()->value, 3);
    EXPECT_EQ(changed.value()->revision, 3);
    const auto noChange = co_await client.watch("a", 3, Millis(1));
    EXPECT_FALSE(noChange.value());
  });
}

// Guards against missing a change that is made while the connection of a watch
// is lost.
TEST_F(KvClientTest, InterruptedWatchFailsAndTheNextOneCatchesUp)
{
  KvClient client(mIo, options());
  run([&]() -> Awaitable<void> {
    co_await writeOrFail(client, write("a", 1));
    const auto interruptWatch = [&]() -> Awaitable<void> {
      while (mKv.waitingWatches() == 0) {
        co_await net::sleepFor(Millis(1));
      }
      co_await control(mKv.server(), R"({"cut_watches":true})");
      co_await writeOrFail(client, write("a", 2));
    };
    net::spawn(mIo, interruptWatch());
    const auto interrupted = co_await client.watch("a", 1, Millis(60'000));
    EXPECT_EQ(errorOf(interrupted), BackendError::Unavailable);
    const auto changed = co_await client.watch("a", 1, Millis(60'000));
    EXPECT_EQ(changed.value()->value, 2);
  });
}

// Guards against accepting an old revision from a watch: the caller would watch
// again at once, in a busy loop, or return to old data.
TEST_F(KvClientTest, WatchRefusesAnOldRevision)
{
  FixedServer server(mIo, fixedResponse(200, R"({"value":1,"revision":4})"));
  auto fixedOptions = options();
  fixedOptions.endpoints = { server.endpoint() };
  KvClient client(mIo, fixedOptions);
  run([&]() -> Awaitable<void> {
    const auto changed = co_await client.watch("a", 4, Millis(1000));
    EXPECT_EQ(errorOf(changed), BackendError::BadResponse);
  });
}

// Guards against sending calls without backoff during an outage.
TEST_F(KvClientTest, OneCallPerBackoffDuringAnOutage)
{
  auto longBackoff = options();
  longBackoff.initialBackoff = std::chrono::hours(1);
  longBackoff.maxBackoff = std::chrono::hours(1);
  longBackoff.timeout = Millis(100);
  KvClient client(mIo, longBackoff);
  run([&]() -> Awaitable<void> {
    co_await control(mKv.server(), R"({"down":true})");
    std::vector<std::error_code> errors;
    co_await readInto(client, errors);
    for (int i = 0; i < 50; ++i) {
      net::spawn(mIo, readInto(client, errors));
    }
    while (errors.size() < 51) {
      co_await net::sleepFor(Millis(1));
    }
    EXPECT_EQ(std::ranges::count(errors, BackendError::Unavailable), 51);
    EXPECT_EQ(client.callCount(), 1U);
    EXPECT_EQ(mKv.server().requests(), 1);
  });
}

// Guards against sending all waiting calls at once when the service is
// available again.
TEST_F(KvClientTest, OneProbeIsSentWhenTheServiceReturns)
{
  bool isDown = true;
  int arrived = 0;
  int arrivedBeforeFirstAnswer = 0;
  net::HttpServer server(
    mIo, {}, [&](net::HttpExchange& exchange) -> Awaitable<void> {
      if (isDown) {
        exchange.abort();
        co_return;
      }
      ++arrived;
      if (arrivedBeforeFirstAnswer == 0) {
        co_await net::sleepFor(Millis(50));
        arrivedBeforeFirstAnswer = arrived;
      }
      auto response = fixedResponse(200, R"({"value":1,"revision":1})");
      co_await exchange.respond(std::move(response));
    });
  auto ownOptions = options();
  ownOptions.endpoints = { server.listen({ "127.0.0.1", 0 }).value() };
  ownOptions.timeout = Millis(5000);
  KvClient client(mIo, ownOptions);
  run([&]() -> Awaitable<void> {
    std::vector<std::error_code> errors;
    co_await readInto(client, errors);
    EXPECT_EQ(errors.at(0), BackendError::Unavailable);
    isDown = false;
    for (int i = 0; i < 20; ++i) {
      net::spawn(mIo, readInto(client, errors));
    }
    while (errors.size() < 21) {
      co_await net::sleepFor(Millis(1));
    }
    EXPECT_EQ(arrivedBeforeFirstAnswer, 1);
    EXPECT_EQ(std::ranges::count(errors, std::error_code()), 20);
  });
}

// Guards against a long watch as the first call after an outage. The first call
// is the probe, whose result all other calls wait for.
TEST_F(KvClientTest, WatchAfterAnOutageStartsWithAShortProbe)
{
  std::vector<std::string> targets;
  net::HttpServer server(
    mIo, {}, [&](net::HttpExchange& exchange) -> Awaitable<void> {
      targets.push_back(exchange.request().target);
      if (targets.size() == 1) {
        exchange.abort();
        co_return;
      }
      auto noChange = fixedResponse(204, "");
      co_await exchange.respond(std::move(noChange));
    });
  auto ownOptions = options();
  ownOptions.endpoints = { server.listen({ "127.0.0.1", 0 }).value() };
  KvClient client(mIo, ownOptions);
  run([&]() -> Awaitable<void> {
    const auto interrupted = co_await client.watch("a", 7, Millis(900));
    EXPECT_EQ(errorOf(interrupted), BackendError::Unavailable);
    for (int i = 0; i < 2; ++i) {
      const auto noChange = co_await client.watch("a", 7, Millis(900));
      EXPECT_FALSE(errorOf(noChange));
    }
    // The second request is the probe, which does not wait. The watch itself
    // follows. The last watch finds no outage and is a single request.
    const std::string fullWatch = "/watch/a?after=7&timeout_ms=900";
    const std::string probe = "/watch/a?after=7&timeout_ms=0";
    EXPECT_EQ(
      targets,
      (std::vector<std::string>{ fullWatch, probe, fullWatch, fullWatch }));
    EXPECT_EQ(client.callCount(), 4U);
  });
}

// Guards against sending more calls than the rate limit allows.
TEST_F(KvClientTest, CallsOverTheRateLimitFailWithoutBeingSent)
{
  auto rateLimited = options();
  rateLimited.callsPerSecond = 0.01;
  rateLimited.timeout = Millis(100);
  KvClient client(mIo, rateLimited);
  run([&]() -> Awaitable<void> {
    co_await writeOrFail(client, write("a", 1));
    const auto second = co_await client.put(write("a", 2));
    EXPECT_EQ(errorOf(second), BackendError::RateLimited);
    EXPECT_EQ(mKv.server().requests(), 1);
    EXPECT_EQ(mKv.table().find("a")->value, 1);
  });
}

// Guards against a call that continues after its client was destroyed.
TEST_F(KvClientTest, DestroyedClientCancelsItsWatch)
{
  auto client = std::make_unique<KvClient>(mIo, options());
  run([&]() -> Awaitable<void> {
    const auto destroyClient = [&]() -> Awaitable<void> {
      while (mKv.waitingWatches() == 0) {
        co_await net::sleepFor(Millis(1));
      }
      client.reset();
    };
    net::spawn(mIo, destroyClient());
    const auto changed = co_await client->watch("a", 0, Millis(60'000));
    EXPECT_EQ(errorOf(changed), BackendError::Unavailable);
  });
}

} // namespace lentilrack::backends
