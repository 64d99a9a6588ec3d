#pragma once

#include "backends/weight_store_client.h"
#include "net/http_router.h"
#include "wire/object_reader.h"

#include <map>
#include <string>

namespace lentilrack::testing {

/// HTTP weight store with faults that tests can switch on.
class FakeWeightStore
{
public:
  explicit FakeWeightStore(net::asio::io_context& io)
    : mServer(io, {}, [this](net::HttpExchange& exchange) {
      return mRouter.handle(exchange);
    })
  {
    mRouter.add("GET", "/versions/:model", [this](net::HttpExchange& exchange) {
      return answerVersions(exchange);
    });
    mRouter.add(
      "GET",
      "/weights/:model/:version/:chunk",
      [this](net::HttpExchange& exchange) { return answerChunk(exchange); });
    endpoint = mServer.listen({ "127.0.0.1", 0 }).value();
  }

  static std::string contentOf(const std::string& version,
                               const std::string& number)
  {
    return "weights " + version + "/" + number + " " + std::string(200, 'w');
  }

  core::Endpoint endpoint;
  /// Newest version by model.
  std::map<std::string, std::int64_t> versions;
  int versionPolls = 0;
  /// Number of reads by "version/chunk", including failed ones.
  std::map<std::string, int> reads;
  /// Number of next reads to refuse with status 429.
  int rateLimited = 0;
  /// Number of next reads to answer with a wrong checksum.
  int corrupted = 0;
  bool down = false;
  core::Millis latency{ 5 };

private:
  net::Awaitable<void> answerVersions(net::HttpExchange& exchange)
  {
    ++versionPolls;
    const auto model = exchange.pathParameter("model");
    const auto after = std::stoll(exchange.request().query("after"));
    for (int i = 0; i < 20 && versions[model] <= after; ++i) {
      co_await net::sleepFor(core::Millis(5));
    }
    net::HttpResponse response;
    response.status = down ? 503 : 204;
    if (!down && versions[model] > after) {
      response.status = 200;
      response.body = wire::Json{
        { "version", versions[model] }, { "chunks", 2 }, { "bytes", 400 }
      }.dump();
    }
    co_await exchange.respond(std::move(response));
  }

  net::Awaitable<void> answerChunk(net::HttpExchange& exchange)
  {
    const auto version = exchange.pathParameter("version");
    const auto number = exchange.pathParameter("chunk");
    ++reads[version + "/" + number];
    co_await net::sleepFor(latency);
    net::HttpResponse response;
    if (down) {
      response.status = 503;
    } else if (rateLimited > 0) {
      --rateLimited;
      response.status = 429;
      response.headers.emplace_back("Retry-After", "1");
    } else if (number != "0" && number != "1") {
      response.status = 404;
    } else {
      response.body = contentOf(version, number);
      auto checksum = backends::chunkChecksum(response.body);
      if (corrupted > 0) {
        --corrupted;
        checksum = backends::chunkChecksum("other");
      }
      response.headers.emplace_back("X-Checksum", checksum);
    }
    co_await exchange.respond(std::move(response));
  }

  net::HttpRouter mRouter;
  net::HttpServer mServer;
};

} // namespace lentilrack::testing
