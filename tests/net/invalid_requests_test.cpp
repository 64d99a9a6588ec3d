#include "net/error.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "support/io_test.h"

namespace lentilrack::net {

namespace {

/// A server that records the requests it gets, and a client.
class InvalidRequestsTest : public testing::IoTest
{
protected:
  HttpCall callWith(HttpRequest request) const
  {
    HttpCall call;
    call.endpoint = mEndpoint;
    call.request = std::move(request);
    return call;
  }

  std::vector<HttpRequest> mRequests;
  HttpServer mServer{ mIo,
                      {},
                      [this](HttpExchange& exchange) -> Awaitable<void> {
                        mRequests.push_back(exchange.request());
                        HttpResponse response;
                        co_await exchange.respond(std::move(response));
                      } };
  core::Endpoint mEndpoint = mServer.listen({ "127.0.0.1", 0 }).value();
  HttpClient mClient{ mIo };
};

} // namespace

// Guards against a request that is sent although the server reads it as another
// one, or as two: the line break in a value began a second request.
TEST_F(InvalidRequestsTest, InvalidRequestIsNotSent)
{
  const std::string hidden =
    "1\r\nContent-Length: 0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a.example";
  const std::vector<HttpRequest> invalid{
    { "POST", "/a", { { "X-Note", hidden } }, "body" },
    { "POST", "/a", { { hidden, "1" } }, "body" },
    { "POST", "/a HTTP/1.1\r\nX: ", {}, "body" },
    { "POST /a", "/b", {}, "body" },
    { "TRACE", "/a", {}, "body" },
    { "POST", "", {}, "body" }
  };
  run([&]() -> Awaitable<void> {
    for (const auto& request : invalid) {
      const auto result = co_await mClient.call(callWith(request));
      EXPECT_EQ(result.error, NetError::InvalidRequest);
      EXPECT_FALSE(result.sent);
    }
  });
  EXPECT_TRUE(mRequests.empty());
}

// Guards against a header of the request that contradicts the length of the
// body, so that the server waits or takes a part of it for the next request.
TEST_F(InvalidRequestsTest, ClientFramesTheBodyItself)
{
  const HttpRequest request{ "POST",
                             "/a",
                             { { "content-length", "2" },
                               { "Transfer-Encoding", "chunked" } },
                             "body" };
  run([&]() -> Awaitable<void> {
    const auto result = co_await mClient.call(callWith(request));
    EXPECT_EQ(result.response.status, 200);
    EXPECT_EQ(mRequests.at(0).body, "body");
    EXPECT_EQ(mRequests.at(0).header("Content-Length"), "4");
    EXPECT_EQ(mRequests.at(0).header("Transfer-Encoding"), "");
  });
}

} // namespace lentilrack::net
