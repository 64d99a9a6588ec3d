#include "fake_server.h"

#include "platform/format.h"

#include <fmt/format.h>

#include <cstdlib>

namespace lentilrack::gateway {

namespace {

const HeaderNames&
names()
{
  static const platform::Format kFormat;
  return kFormat.headers();
}

} // namespace

FakeServer::FakeServer(net::asio::io_context& io, std::string id)
  : mId(std::move(id))
  , mServer(io, net::HttpLimits{}, [this](net::HttpExchange& exchange) {
    return handle(exchange);
  })
{
  mEndpoint = mServer.listen({ "127.0.0.1", 0 }).value();
}

net::HttpResponse
FakeServer::makeResponse(const net::HttpRequest& request,
                         int status,
                         std::string body)
{
  net::HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  response.headers = { { names().requestId, request.header(names().requestId) },
                       { names().stamp, "stamp" } };
  return response;
}

std::string
FakeServer::remainingEvents(const net::HttpRequest& request, int last)
{
  const int after = std::atoi(request.header(names().lastEvent).c_str());
  std::string text;
  for (int i = after + 1; i <= last; ++i) {
    text += fmt::format("id: {}\ndata: piece {}\n\n", i, i);
  }
  return text;
}

net::Headers
FakeServer::streamHeaders(const net::HttpRequest& request, int version)
{
  return { { names().requestId, request.header(names().requestId) },
           { names().stamp, "stamp" },
           { names().weightVersion, std::to_string(version) } };
}

net::Awaitable<void>
FakeServer::handle(net::HttpExchange& exchange)
{
  mRequests.push_back(exchange.request());
  if (mHandler) {
    co_await mHandler(exchange);
    co_return;
  }
  auto headers = streamHeaders(exchange.request(), version);
  headers.insert(headers.end(), extraHeaders.begin(), extraHeaders.end());
  co_await exchange.beginStream(200, "text/event-stream", std::move(headers));
  auto text = remainingEvents(exchange.request(), events);
  co_await exchange.write(std::move(text));
  co_await exchange.endStream();
}

} // namespace lentilrack::gateway
