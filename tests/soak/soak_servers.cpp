#include "soak_servers.h"

#include "core/decimal.h"
#include "platform/format.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

namespace lentilrack::soak {

namespace {

using core::Clock;
using core::Millis;
using Json = nlohmann::json;

constexpr int kSlots = 6;
constexpr Millis kLoadTime{ 300 };
constexpr int kMinEvents = 2;
constexpr int kMaxEvents = 6;
/// Shares of the requests of which a server refuses, fails or cuts one.
constexpr double kRefusedShare = 0.03;
constexpr double kFailedShare = 0.02;
constexpr double kCutShare = 0.02;

const gateway::HeaderNames&
names()
{
  static const platform::Format kFormat;
  return kFormat.headers();
}

double
draw(pcg64& random)
{
  return std::uniform_real_distribution<double>(0, 1)(random);
}

Millis
drawTime(pcg64& random, Millis longest)
{
  return Millis(
    std::uniform_int_distribution<std::int64_t>(1, longest.count())(random));
}

net::HttpResponse
emptyResponse(int status)
{
  net::HttpResponse response;
  response.status = status;
  response.body = "{}";
  return response;
}

} // namespace

SoakServer::SoakServer(net::asio::io_context& io,
                       StoreServer& store,
                       PromiseChecker& checker,
                       pcg64& random,
                       std::string service,
                       std::string model)
  : mIo(io)
  , mStore(store)
  , mChecker(checker)
  , mRandom(random)
  , mService(std::move(service))
  , mModel(std::move(model))
  , mServer(io, net::HttpLimits{}, [this](net::HttpExchange& exchange) {
    return handle(exchange);
  })
{
  mEndpoint = mServer.listen({ "127.0.0.1", 0 }).value();
  restart();
}

void
SoakServer::restart()
{
  unpublish();
  mServer.closeAllConnections();
  mId = fmt::format("i-{:08x}", static_cast<std::uint32_t>(mRandom()));
  mStartedAt = std::chrono::duration_cast<Millis>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
  mOrders = 0;
  mLoadingUntil = {};
  mIsLeaving = false;
  publish();
}

void
SoakServer::leave()
{
  mIsLeaving = true;
  publish();
}

void
SoakServer::unpublish()
{
  if (!mId.empty()) {
    mStore.table().remove("servers/" + mId);
  }
}

void
SoakServer::publish()
{
  Json json = {
    { "service", mService },    { "address", mEndpoint.text() },
    { "zone", "domain-1" },     { "version", "v1" },
    { "slots", kSlots },        { "state", mIsLeaving ? "draining" : "ready" },
    { "seq", ++mWrites },       { "born", mStartedAt },
    { "models", Json::array() }
  };
  if (!mModel.empty()) {
    json["models"].push_back({ { "name", mModel }, { "version", mVersion } });
  }
  mStore.table().put("servers/" + mId, json.dump());
}

bool
SoakServer::happens(double probability)
{
  return draw(mRandom) < probability;
}

int
SoakServer::eventsOf(const std::string& item)
{
  const auto sum = static_cast<unsigned char>(item.back());
  return kMinEvents + sum % (kMaxEvents - kMinEvents + 1);
}

std::string
SoakServer::textOf(const std::string& item)
{
  std::string text;
  for (int i = 1; i <= eventsOf(item); ++i) {
    text += fmt::format("{}{} part {}", i == 1 ? "" : "\n", item, i);
  }
  return text;
}

net::Headers
SoakServer::answerHeaders(const net::HttpRequest& request) const
{
  net::Headers headers{ { names().requestId,
                          request.header(names().requestId) },
                        { names().stamp, mId + ".stamp" },
                        { names().weightVersion, std::to_string(mVersion) } };
  if (mIsLeaving) {
    headers.emplace_back(names().leaving, "1");
  }
  return headers;
}

void
SoakServer::checkHeaders(const net::HttpRequest& request,
                         const std::string& batch)
{
  const auto id = request.header(names().requestId);
  if (!request.header(names().apiKey).empty()) {
    mChecker.serverSawKey(id);
  }
  const auto organisations =
    net::headerValues(request.headers, names().organisation);
  if (id.ends_with("-reward")) {
    return;
  }
  mChecker.serverRan(id,
                     batch,
                     organisations.size() == 1
                       ? std::string(organisations.front())
                       : fmt::format("{} names", organisations.size()));
}

net::Awaitable<void>
SoakServer::handle(net::HttpExchange& exchange)
{
  const auto& request = exchange.request();
  const auto expected = request.header(names().expectedServer);
  if (!expected.empty() && expected != mId) {
    auto response = emptyResponse(421);
    response.headers.emplace_back("X-Instance-Id", mId);
    co_await exchange.respond(std::move(response));
  } else if (request.path() == "/api/report") {
    co_await exchange.respond(report());
  } else if (request.path() == "/api/order") {
    co_await exchange.respond(takeOrder(request.body));
  } else if (happens(kRefusedShare)) {
    auto response = emptyResponse(503);
    response.headers = answerHeaders(request);
    response.headers.emplace_back(names().notExecuted, "1");
    co_await exchange.respond(std::move(response));
  } else if (request.path().starts_with("/batch/")) {
    co_await runItem(exchange);
  } else {
    co_await runPlain(exchange);
  }
}

net::Awaitable<void>
SoakServer::runPlain(net::HttpExchange& exchange)
{
  constexpr Millis kLongestWork{ 60 };
  const auto request = exchange.request();
  checkHeaders(request, "");
  co_await net::sleepFor(drawTime(mRandom, kLongestWork));
  if (happens(kCutShare)) {
    exchange.abort();
    co_return;
  }
  auto response = emptyResponse(happens(kFailedShare) ? 500 : 200);
  response.headers = answerHeaders(request);
  response.body = "echo " + request.header(names().requestId);
  co_await exchange.respond(std::move(response));
}

net::Awaitable<void>
SoakServer::runItem(net::HttpExchange& exchange)
{
  constexpr Millis kLongestPause{ 40 };
  const auto request = exchange.request();
  const auto id = request.header(names().requestId);
  checkHeaders(request, id.substr(0, id.rfind('-')));
  co_await exchange.beginStream(
    200, "text/event-stream", answerHeaders(request));
  const auto last =
    core::parseDecimal<int>(request.header(names().lastEvent)).value_or(0);
  for (int i = last + 1; i <= eventsOf(id); ++i) {
    co_await net::sleepFor(drawTime(mRandom, kLongestPause));
    const bool isOpen = co_await exchange.write(
      fmt::format("id: {}\ndata: {} part {}\n\n", i, id, i));
    if (!isOpen) {
      co_return;
    }
    if (happens(kCutShare)) {
      exchange.abort();
      co_return;
    }
  }
  co_await exchange.endStream();
}

net::HttpResponse
SoakServer::report() const
{
  auto response = emptyResponse(200);
  response.body = Json{
    { "models", { { { "name", mModel }, { "version", mVersion } } } },
    { "busy", Clock::now() < mLoadingUntil },
    { "seq", mOrders }
  }.dump();
  return response;
}

net::HttpResponse
SoakServer::takeOrder(const std::string& body)
{
  const auto order = Json::parse(body);
  const auto holder = order.at("holder").get<std::string>();
  mChecker.dutyCallArrived("server " + mId,
                           holder,
                           order.at("fence").get<std::int64_t>(),
                           mIsExcused && mIsExcused(holder));
  const auto version = order.at("version").get<std::int64_t>();
  if (mVersion >= version) {
    return emptyResponse(200);
  }
  if (Clock::now() < mLoadingUntil ||
      order.value("expect", mOrders) != mOrders) {
    return emptyResponse(409);
  }
  ++mOrders;
  mLoadingUntil = Clock::now() + kLoadTime;
  mVersion = version;
  publish();
  return emptyResponse(202);
}

SoakProvider::SoakProvider(net::asio::io_context& io,
                           PromiseChecker& checker,
                           pcg64& random)
  : mChecker(checker)
  , mRandom(random)
  , mServer(io, net::HttpLimits{}, [this](net::HttpExchange& exchange) {
    return handle(exchange);
  })
{
  mEndpoint = mServer.listen({ "127.0.0.1", 0 }).value();
}

net::Awaitable<void>
SoakProvider::handle(net::HttpExchange& exchange)
{
  constexpr Millis kLongestDelay{ 400 };
  const auto request = exchange.request();
  const auto holder = request.header("X-Lease-Holder");
  const auto token =
    core::parseDecimal<std::int64_t>(request.header("X-Fencing-Token"));
  mChecker.dutyCallArrived(
    "usage", holder, token.value_or(0), mIsExcused && mIsExcused(holder));
  const bool isFailing = draw(mRandom) < failureShare;
  const double way = draw(mRandom);
  if (isFailing && way < 0.3) {
    co_await exchange.respond(emptyResponse(429));
    co_return;
  }
  const auto report = Json::parse(request.body);
  mChecker.usageAccepted(report.at("window").get<std::int64_t>(),
                         report.at("counts").dump());
  if (isFailing && way < 0.6) {
    exchange.abort();
    co_return;
  }
  if (isFailing) {
    co_await net::sleepFor(drawTime(mRandom, kLongestDelay));
  }
  co_await exchange.respond(emptyResponse(200));
}

} // namespace lentilrack::soak
