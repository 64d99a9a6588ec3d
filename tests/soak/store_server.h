#pragma once

#include "gateway/fake_store.h"
#include "net/http_server.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>

namespace lentilrack::soak {

/// Serves a table of keys over the HTTP interface of the platform's store, with
/// faults.
class StoreServer
{
public:
  explicit StoreServer(net::asio::io_context& io);

  core::Endpoint endpoint() const { return mEndpoint; }
  gateway::FakeStoreTable& table() { return *mTable; }

  /// True if every call fails with status 503. Nothing is executed.
  bool isDown = false;
  /// Delay before each call is executed.
  core::Millis delay{ 0 };
  /// Returns true if the response to an executed transaction is to be lost.
  std::function<bool()> losesResponse;

private:
  net::Awaitable<void> handle(net::HttpExchange& exchange);
  net::Awaitable<net::HttpResponse> execute(const net::HttpRequest& request);
  net::Awaitable<net::HttpResponse> watch(const net::HttpRequest& request);
  net::Awaitable<net::HttpResponse> commit(const nlohmann::json& body);

  std::shared_ptr<gateway::FakeStoreTable> mTable;
  gateway::FakeStore mStore;
  net::HttpServer mServer;
  core::Endpoint mEndpoint;
};

} // namespace lentilrack::soak
