#pragma once

#include "net/http_server.h"

#include <functional>
#include <string>
#include <vector>

namespace lentilrack::gateway {

/// A backend server on loopback whose responses are set by the test.
class FakeServer
{
public:
  using Handler = std::function<net::Awaitable<void>(net::HttpExchange&)>;

  FakeServer(net::asio::io_context& io, std::string id);

  const std::string& id() const { return mId; }
  core::Endpoint endpoint() const { return mEndpoint; }
  /// Sets the handler that responds instead of the default response.
  void onRequest(Handler handler) { mHandler = std::move(handler); }
  const std::vector<net::HttpRequest>& requests() const { return mRequests; }

  /// Number of events in the default streamed response.
  int events = 3;
  /// Headers that are added to the default response.
  net::Headers extraHeaders;
  /// Version of the weights in the default response.
  int version = 1;

  /// Returns a response with a stamp and without events.
  static net::HttpResponse makeResponse(const net::HttpRequest& request,
                                        int status = 200,
                                        std::string body = "done");
  /// Returns the events up to number `last` that follow the last event named in
  /// the request.
  static std::string remainingEvents(const net::HttpRequest& request, int last);
  /// Returns the headers of a streamed response from weights of this version.
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
