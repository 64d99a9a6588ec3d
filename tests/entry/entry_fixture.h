#pragma once

#include "core/attempt_ledger.h"
#include "core/ticket.h"
#include "entry/entry_app.h"
#include "net/http_client.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lentilrack::entry {

inline constexpr const char* kSecret = "link-secret";
inline constexpr const char* kToken = "desk-token";

/// Table with the caller "desk" and the caller "other", who may do everything.
core::Table
testTable();

/// An entry process without heartbeats: its membership is what the test says.
class TestEntry
{
public:
  TestEntry(net::asio::io_context& io,
            const std::string& name,
            EntryOptions options = {});

  node::Node& node() { return mNode; }
  EntryApp& app() { return mApp; }
  core::Endpoint http() const { return mHttp; }
  /// As other processes know it.
  const core::Member& member() { return mNode.members().self(); }
  void addMember(const core::Member& member);
  /// Other processes no longer reach it; it still reaches them.
  void closeLinks() { mNode.linkServer().close(); }

private:
  node::Node mNode;
  EntryApp mApp;
  net::HttpServer mServer;
  core::Endpoint mHttp;
};

/// A dispatcher with the real attempt ledger and a scripted engine.
class FakeDispatcher
{
public:
  using Request = std::shared_ptr<net::LinkRequest>;
  /// Produces the outcome; the attempt has been started in the ledger.
  using Engine =
    std::function<net::Awaitable<core::Outcome>(wire::DispatchRequest,
                                                Request)>;

  FakeDispatcher(net::asio::io_context& io,
                 const std::string& name,
                 core::Incarnation incarnation = 1,
                 core::Endpoint endpoint = { "127.0.0.1", 0 });

  core::Member member() const;
  const core::ProcessId& id() const { return mId; }
  void shutDown() { mServer.close(); }

  Engine engine;
  /// Called before the ledger sees the attempt; true drops the message.
  std::function<bool()> shouldDropMessage = [] { return false; };
  /// Refuses every attempt with this reason if it is not empty.
  std::string refusalReason;
  /// Answer that is still kept for a bar of a finished attempt.
  std::vector<core::Chunk> keptAnswer;
  /// Prompts (or call paths) in the order of their start.
  std::vector<std::string> runs;
  int cancels = 0;
  core::AttemptLedger ledger;

private:
  net::Awaitable<void> dispatch(Request request);
  net::Awaitable<void> bar(Request request);

  core::ProcessId mId;
  net::LinkServer mServer;
  core::Endpoint mLink;
};

/// Sends the prompt back word by word, one token each, as weight version 7.
net::Awaitable<core::Outcome>
echoEngine(wire::DispatchRequest message, FakeDispatcher::Request request);

/// Waits until something of a test becomes true.
template<typename Condition>
net::Awaitable<void>
waitUntil(Condition condition)
{
  while (!condition()) {
    co_await net::sleepFor(core::Millis(1));
  }
}

struct Answer
{
  int status = 0;
  std::error_code error;
  std::string body;
  std::string contentType;

  wire::Json json() const { return wire::Json::parse(body); }
  std::vector<wire::Json> lines() const;
  /// Text of all token lines.
  std::string text() const;
  std::string verdict() const;
  std::string reason() const;
};

/// Two dispatchers and two entries that know each other.
class EntryTest : public ::testing::Test
{
protected:
  EntryTest();

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

  std::string newId(TestEntry& home, const std::string& caller = "desk");
  static wire::Json orderBody(const std::string& id,
                              const std::string& prompt,
                              bool idempotent = false);
  net::Awaitable<Answer> send(TestEntry& entry, net::HttpRequest request);
  net::Awaitable<Answer> order(TestEntry& entry, wire::Json body);
  /// Starts an order whose answer is stored when it comes.
  std::shared_ptr<Answer> startOrder(TestEntry& entry, wire::Json body);

  net::asio::io_context mIo;
  FakeDispatcher mFirst{ mIo, "etna-1/dispatch" };
  FakeDispatcher mSecond{ mIo, "etna-2/dispatch" };
  TestEntry mEntry{ mIo, "etna-1" };
  TestEntry mOther{ mIo, "etna-2" };
  net::HttpClient mClient{ mIo };
  std::uint64_t mLastSequence = 0;
};

} // namespace lentilrack::entry
