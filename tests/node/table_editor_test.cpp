#include "node/table_editor.h"

#include "core/table_fixture.h"
#include "net/http_server.h"
#include "wire/table_codec.h"

#include <gtest/gtest.h>

namespace lentilrack::node {

namespace {

using core::testing::row;
using core::testing::smallTable;
using net::Awaitable;
using wire::Json;

/// Key-value service with a single key. The first write takes effect but its
/// reply is lost; after that, reads fail until restore() is called.
class FailingKv
{
public:
  explicit FailingKv(net::asio::io_context& io)
    : mServer(io,
              {},
              [this](net::HttpExchange& exchange) { return serve(exchange); })
    , mEndpoint(mServer.listen({ "127.0.0.1", 0 }).value())
    , mValue(wire::encode(smallTable()))
  {
  }

  const core::Endpoint& endpoint() const { return mEndpoint; }
  void restore() { mIsDown = false; }

private:
  Awaitable<void> serve(net::HttpExchange& exchange)
  {
    const auto& request = exchange.request();
    const bool isTable = request.path() == "/kv/config/table";
    if (isTable && request.method == "PUT") {
      const auto body = Json::parse(request.body);
      EXPECT_EQ(body.at("expect"), mRevision);
      mValue = body.at("value");
      ++mRevision;
      mIsDown = true;
    }
    if (mIsDown) {
      // The server closes the connection if the handler sends no response, so
      // the reply is lost.
      co_return;
    }
    Json answer{ { "revision", mRevision } };
    if (isTable) {
      answer["value"] = mValue;
    }
    net::HttpResponse response;
    response.body = answer.dump();
    co_await exchange.respond(std::move(response));
  }

  net::HttpServer mServer;
  core::Endpoint mEndpoint;
  Json mValue;
  std::int64_t mRevision = 10;
  bool mIsDown = false;
};

backends::KvClientOptions
kvOptions(const core::Endpoint& endpoint)
{
  backends::KvClientOptions options;
  options.endpoints = { endpoint };
  // The time-out is long, so that a busy machine does not look like an outage.
  options.timeout = core::Millis(10'000);
  options.initialBackoff = core::Millis(5);
  options.maxBackoff = core::Millis(20);
  options.callsPerSecond = 10'000;
  return options;
}

} // namespace

// Guards against reporting an edit as accepted or refused when the reply to its
// write was lost and the service then failed. The outcome is unknown until the
// same edit id is sent again and the service responds.
TEST(TableEditorTest, OutageAfterALostReplyIsUnknownUntilSentAgain)
{
  net::asio::io_context io;
  FailingKv service(io);
  backends::KvClient kv(io, kvOptions(service.endpoint()));
  core::TableReplica replica;
  TableEditor editor(
    io, kv, replica, net::Logger("test", net::LogLevel::Error), 1);
  auto changed = row("carl", "*");
  changed.weight = 7;
  const core::Edit edit{ "edit", core::SetRow{ changed, 1 } };
  const auto script = [&]() -> Awaitable<void> {
    const auto first = co_await editor.run(edit);
    EXPECT_TRUE(std::holds_alternative<core::EditUnknown>(first));
    EXPECT_EQ(replica.revision(), 0);
    service.restore();
    const auto second = co_await editor.run(edit);
    const auto* accepted = std::get_if<core::EditAccepted>(&second);
    EXPECT_TRUE(accepted != nullptr && accepted->revision == 2);
    EXPECT_EQ(replica.revision(), 2);
    io.stop();
  };
  net::spawn(io, script());
  io.run();
  EXPECT_EQ(replica.revision(), 2);
}

} // namespace lentilrack::node
