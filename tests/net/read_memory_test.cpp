#include "net/error.h"
#include "net/http_client.h"
#include "support/flooding_server.h"
#include "support/io_test.h"
#include "support/raw_server.h"

#include <algorithm>
#include <vector>

namespace lentilrack::net {

namespace {

constexpr std::size_t kLimit = 1024UL * 1024;
constexpr int kCalls = 24;
const std::string kPiece(10'000, 'x');

class ReadMemoryTest : public testing::IoTest
{
protected:
  /// Calls the server. The body alone has no limit below that of the memory.
  Awaitable<HttpResult> callServer(core::Endpoint server)
  {
    HttpCall call;
    call.endpoint = std::move(server);
    call.timeout = core::Millis(60'000);
    call.bodyLimit = 16 * kLimit;
    co_return co_await mClient.call(std::move(call));
  }

  /// Calls servers that send without end, all at the same time, and a sound
  /// server while they are read. Expects that only the former fail.
  void expectFloodEndsOnlyItself(std::string start, std::string piece)
  {
    testing::FloodingServer flooding(mIo, std::move(start), std::move(piece));
    testing::RawServer sound(
      mIo, "HTTP/1.1 200 OK\r\nContent-Length: 10000\r\n\r\n" + kPiece);
    std::vector<HttpResult> results;
    const auto callFlooding = [&]() -> Awaitable<void> {
      auto result = co_await callServer(flooding.endpoint());
      result.response = {};
      results.push_back(std::move(result));
    };
    run([&]() -> Awaitable<void> {
      for (int i = 0; i < kCalls; ++i) {
        spawn(mIo, callFlooding());
      }
      co_await until([&] { return mMemory->used() > kLimit / 2; });
      while (results.size() < kCalls) {
        const auto result = co_await callServer(sound.endpoint());
        EXPECT_FALSE(result.error);
        EXPECT_EQ(result.response.body, kPiece);
        co_await sleepFor(core::Millis(1));
      }
    });
    EXPECT_TRUE(std::ranges::all_of(results, [](const HttpResult& result) {
      return result.sent && result.error == NetError::BadMessage;
    }));
    // One read may exceed the limit before a response is given up.
    EXPECT_LT(mMemory->peak(), kLimit + 256UL * 1024);
    EXPECT_EQ(mMemory->used(), 0U);
  }

  std::shared_ptr<ReadMemory> mMemory = std::make_shared<ReadMemory>(kLimit);
  HttpClient mClient{ mIo, mMemory };
};

} // namespace

// Guards against a process that keeps what a server in trouble sends without
// end, in a body, until it has no memory left.
TEST_F(ReadMemoryTest, BodiesWithoutEndEndOnlyTheirOwnCalls)
{
  expectFloodEndsOnlyItself("HTTP/1.1 200 OK\r\n\r\n", kPiece);
  EXPECT_EQ(mMemory->givenUp(), static_cast<std::size_t>(kCalls));
}

// Guards against heads that are each below their limit but together exceed the
// memory.
TEST_F(ReadMemoryTest, HeadsWithoutEndEndOnlyTheirOwnCalls)
{
  expectFloodEndsOnlyItself("HTTP/1.1 200 OK\r\n",
                            "X-Field: " + std::string(100, 'x') + "\r\n");
}

// Guards against trailers that are each below their limit but together exceed
// the memory.
TEST_F(ReadMemoryTest, TrailersWithoutEndEndOnlyTheirOwnCalls)
{
  expectFloodEndsOnlyItself("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                            "\r\n\r\n0\r\n",
                            "X-Field: " + std::string(100, 'x') + "\r\n");
}

// Guards against a server whose chunks hold hardly any data and never end: no
// limit of size applies to them.
TEST_F(ReadMemoryTest, SmallChunksWithoutEndEndAtTheTimeOut)
{
  testing::FloodingServer flooding(
    mIo,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "1;name=" + std::string(30'000, 'v') + "\r\nx\r\n");
  run([&]() -> Awaitable<void> {
    HttpCall call;
    call.endpoint = flooding.endpoint();
    call.timeout = core::Millis(300);
    const auto result = co_await mClient.call(std::move(call));
    EXPECT_EQ(result.error, NetError::TimedOut);
  });
}

// Guards against giving up a response that could be passed on.
TEST_F(ReadMemoryTest, OnlyTheLargestUnfinishedResponseIsGivenUp)
{
  int givenUp = 0;
  ReadMemory::Share complete(mMemory, [&] { givenUp += 100; });
  ReadMemory::Share large(mMemory, [&] { givenUp += 10; });
  ReadMemory::Share small(mMemory, [&] { givenUp += 1; });
  complete.markComplete();
  complete.resize(kLimit / 2);
  large.resize(kLimit / 4);
  small.resize(kLimit / 8);
  EXPECT_EQ(givenUp, 0);
  small.resize(kLimit / 4 + 1);
  EXPECT_EQ(givenUp, 1);
  large.resize(kLimit / 2);
  EXPECT_EQ(givenUp, 1);
  large.resize(kLimit);
  EXPECT_EQ(givenUp, 11);
  EXPECT_EQ(mMemory->used(), kLimit / 2);
}

// Guards against a response that no longer counts while it waits for a caller.
TEST_F(ReadMemoryTest, ResponseCountsUntilItIsGone)
{
  testing::RawServer server(
    mIo, "HTTP/1.1 200 OK\r\nContent-Length: 10000\r\n\r\n" + kPiece);
  run([&]() -> Awaitable<void> {
    auto result = co_await callServer(server.endpoint());
    EXPECT_GE(mMemory->used(), kPiece.size());
    EXPECT_LT(mMemory->used(), 2 * kPiece.size());
    result = {};
    EXPECT_EQ(mMemory->used(), 0U);
  });
}

} // namespace lentilrack::net
