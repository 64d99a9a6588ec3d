#pragma once

#include "net/http_server.h"

#include <functional>
#include <string>
#include <vector>

namespace lentilrack::gateway {

/// A backend server on loopback whose answers a test writes.
class FakeServer
{
public:
  using Handler = std::function<net::Awaitable<void>(net::HttpExchange&)>;

  FakeServer(net::asio::io_context& io, std::string id);

  const std::string& id() const { return mId; }
  core::Endpoint endpoint() const { return mEndpoint; }
  /// Takes the place of the usual answer.
  void onRequest(Handler handler) { mHandler = std::move(handler); }
  const std::vector<net::HttpRequest>& requests() const { return mRequests; }

  /// Number of events of a usual streamed answer.
  int events = 3;
  /// Version of the weights that a usual answer names.
  int version = 1;

  /// A whole answer with the server's stamp.
  static net::HttpResponse makeResponse(const net::HttpRequest& request,
                                        int status = 200,
                                        std::string body = "done");
  /// The events after the one that the request names, up to `last`.
  static std::string remainingEvents(const net::HttpRequest& request, int last);
  static net::Headers streamHeaders(const net::HttpRequest& request,
                                    int version);

private:
  net::Awaitable<void> handle(net::HttpExchange& exchange);

  std::string mId;
  net::HttpServer mServer;
  core::Endpoint mEndpoint;
  Handler mHandler;
  std::vector<net::HttpRequest> mRequests;
};

} // namespace lentilrack::gateway
