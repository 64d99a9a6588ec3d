#pragma once

#include "net/http_client.h"
#include "net/http_server.h"
#include "standins/standin_server.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace lentilrack::backends {

/// Returns the error of a result, or no error if it has a value.
template<typename T>
std::error_code
errorOf(const core::Result<T>& result)
{
  return result ? std::error_code() : result.error();
}

/// Base of the tests of backend clients. Runs a test's coroutine and the
/// simulated servers on one io_context.
class BackendTest : public ::testing::Test
{
protected:
  template<typename Function>
  void run(Function function)
  {
    bool isFinished = false;
    net::asio::co_spawn(
      mIo, function(), [&](const std::exception_ptr& exception) {
        isFinished = true;
        mIo.stop();
        if (exception) {
          std::rethrow_exception(exception);
        }
      });
    mIo.run();
    ASSERT_TRUE(isFinished);
  }

  /// Sends a control request to a simulated server and expects it to be
  /// accepted.
  net::Awaitable<void> control(standins::StandinServer& standin,
                               std::string body)
  {
    net::HttpCall call;
    call.endpoint = standin.endpoint();
    call.request.method = "POST";
    call.request.target = "/control";
    call.request.body = std::move(body);
    call.useNewConnection = true;
    const auto result = co_await mHttp.call(std::move(call));
    EXPECT_TRUE(result.isSuccess()) << result.response.body;
  }

  /// Returns an address on which nothing listens.
  core::Endpoint closedEndpoint()
  {
    net::HttpServer server(mIo, {}, nullptr);
    return server.listen({ "127.0.0.1", 0 }).value();
  }

  net::asio::io_context mIo;
  net::HttpClient mHttp{ mIo };
};

/// HTTP server that sends one fixed response to every request.
class FixedServer
{
public:
  FixedServer(net::asio::io_context& io, net::HttpResponse response)
    : mResponse(std::move(response))
    , mServer(io,
              {},
              [this](net::HttpExchange& exchange) {
                mTargets.push_back(exchange.request().target);
                return exchange.respond(mResponse);
              })
    , mEndpoint(mServer.listen({ "127.0.0.1", 0 }).value())
  {
  }

  const core::Endpoint& endpoint() const { return mEndpoint; }
  const std::vector<std::string>& targets() const { return mTargets; }

private:
  net::HttpResponse mResponse;
  std::vector<std::string> mTargets;
  net::HttpServer mServer;
  core::Endpoint mEndpoint;
};

inline net::HttpResponse
fixedResponse(int status, std::string body)
{
  net::HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

} // namespace lentilrack::backends
