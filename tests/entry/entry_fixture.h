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

/// Returns a table with the callers "desk" and "other", which may send any kind
/// of work.
core::Table
testTable();

/// An entry process without heartbeats; tests set its membership.
class TestEntry
{
public:
  TestEntry(net::asio::io_context& io,
            const std::string& name,
            EntryOptions options = {});

  node::Node& node() { return mNode; }
  EntryApp& app() { return mApp; }
  core::Endpoint http() const { return mHttpEndpoint; }
  /// Returns this process's member entry, to be added to other processes.
  const core::Member& member() { return mNode.members().self(); }
  void addMember(const core::Member& member);
  /// Makes this process unreachable for other processes. Its own calls to other
  /// processes still work.
  void closeLinks() { mNode.linkServer().close(); }

private:
  node::Node mNode;
  EntryApp mApp;
  net::HttpServer mServer;
  core::Endpoint mHttpEndpoint;
};

/// A dispatcher with a real attempt ledger and an engine that tests replace.
class FakeDispatcher
{
public:
  using Request = std::shared_ptr<net::LinkRequest>;
  /// Runs an attempt that the ledger has started, and returns its outcome.
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
  /// Called before an attempt is recorded. If it returns true, the message with
  /// the attempt is dropped.
  std::function<bool()> shouldDropMessage = [] { return false; };
  /// If not empty, every attempt is refused with this reason.
  std::string refusalReason;
  /// Chunks of the answer that the reply to a bar request contains if the
  /// attempt has finished.
  std::vector<core::Chunk> keptAnswer;
  /// Prompts or call paths of the started attempts, in order.
  std::vector<std::string> runs;
  int cancelledAttempts = 0;
  core::AttemptLedger ledger;

private:
  net::Awaitable<void> dispatch(Request request);
  net::Awaitable<void> bar(Request request);

  core::ProcessId mId;
  net::LinkServer mServer;
  core::Endpoint mLinkEndpoint;
};

/// Engine that answers with the prompt, one word at a time, where each word is
/// one token of weight version 7. For a call, answers with the body of the
/// call.
net::Awaitable<core::Outcome>
echoEngine(wire::DispatchRequest message, FakeDispatcher::Request request);

/// Checks the condition every millisecond until it is true.
template<typename Condition>
net::Awaitable<void>
waitUntil(Condition condition)
{
  while (!condition()) {
    co_await net::sleepFor(core::Millis(1));
  }
}

struct HttpReply
{
  int status = 0;
  std::error_code error;
  std::string body;
  std::string contentType;

  wire::Json json() const { return wire::Json::parse(body); }
  std::vector<wire::Json> lines() const;
  /// Returns the text of all token lines.
  std::string text() const;
  std::string verdict() const;
  std::string reason() const;
};

/// Runs two dispatchers and two entry processes. Each entry process has the
/// other one and both dispatchers as members.
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
  net::Awaitable<HttpReply> send(TestEntry& entry, net::HttpRequest request);
  net::Awaitable<HttpReply> order(TestEntry& entry, wire::Json body);
  /// Starts an order and returns its answer, which is filled in when the order
  /// has ended.
  std::shared_ptr<HttpReply> startOrder(TestEntry& entry, wire::Json body);

  net::asio::io_context mIo;
  FakeDispatcher mFirstDispatcher{ mIo, "etna-1/dispatch" };
  FakeDispatcher mSecondDispatcher{ mIo, "etna-2/dispatch" };
  TestEntry mEntryProcess{ mIo, "etna-1" };
  TestEntry mOtherEntryProcess{ mIo, "etna-2" };
  net::HttpClient mHttpClient{ mIo };
  std::uint64_t mLastSequence = 0;
};

} // namespace lentilrack::entry
