#pragma once

#include "fake_server.h"
#include "fake_store.h"
#include "gateway/batch_service.h"
#include "gateway/rate_permits.h"
#include "gateway/rate_publisher.h"
#include "gateway/state_applier.h"
#include "gateway/state_replicator.h"
#include "gateway/usage_reporter.h"
#include "gateway/weight_leader.h"
#include "platform/format.h"
#include "support/io_test.h"

#include <memory>
#include <string>
#include <vector>

namespace lentilrack::gateway {

/// The parts of one gateway process, connected to a fake store.
struct TestNode
{
  TestNode(net::asio::io_context& io,
           const std::string& instance,
           std::shared_ptr<FakeStoreTable> table);

  /// Adds a server to the registry, as if the store listed it.
  void addServer(const FakeServer& server,
                 const std::string& service,
                 int slots = 4);

  platform::Format format;
  FakeStore store;
  DecisionLog log;
  Context context;
  ClusterView cluster;
  PeerClient peers;
  RatePermits permits;
  RatePublisher rates;
  StateApplier stateApplier;
  StateReplicator replicator;
  Forwarder forwarder;
  BatchService batches;
  Leadership leadership;
  WeightLeader leader;
  UsageReporter usage;

private:
  std::vector<core::ServerEntry> mEntries;
};

/// An HTTP exchange without a connection that records the response.
class TestExchange : public net::HttpExchange
{
public:
  explicit TestExchange(net::HttpRequest request)
    : HttpExchange(std::move(request))
  {
  }

  net::Awaitable<void> respond(net::HttpResponse answer) override
  {
    response = std::move(answer);
    isAnswered = true;
    co_return;
  }
  net::Awaitable<void> beginStream(int status,
                                   std::string contentType,
                                   net::Headers headers) override
  {
    response.status = status;
    response.contentType = std::move(contentType);
    response.headers = std::move(headers);
    co_return;
  }
  net::Awaitable<bool> write(std::string data) override
  {
    response.body += data;
    co_return !isClientGone;
  }
  net::Awaitable<void> endStream() override
  {
    isAnswered = true;
    co_return;
  }
  void abort() override { isAborted = true; }
  bool isClientDisconnected() const override { return isClientGone; }
  void onClientDisconnect(std::function<void()> hook) override
  {
    mDisconnectHook = std::move(hook);
  }
  /// Simulates that the client disconnects.
  void closeClient()
  {
    isClientGone = true;
    if (mDisconnectHook) {
      mDisconnectHook();
    }
  }

  net::HttpResponse response;
  bool isAnswered = false;
  bool isAborted = false;
  bool isClientGone = false;

private:
  std::function<void()> mDisconnectHook;
};

class GatewayTest : public testing::IoTest
{
protected:
  static constexpr const char* kHost = "host.example";

  static core::Route plainRoute(core::RouteKind kind, int attempts);
  static std::shared_ptr<const core::DesiredState> desiredState();
  /// Returns a request that matches the plain route.
  static net::HttpRequest request(const std::string& id);
  /// Returns the submission of a batch whose items have no reward calls.
  static net::HttpRequest submission(const std::string& id, int items);

  /// Return handlers that answer every request with a status, or that close the
  /// connection without a response.
  static FakeServer::Handler respondWith(int status, net::Headers extra = {});
  static FakeServer::Handler dropConnection();

  std::unique_ptr<TestNode> makeNode(const std::string& instance);
  /// Starts all of the node that takes part in the election of a leader, and
  /// waits until the node is registered.
  static net::Awaitable<void> joinElection(TestNode& node);

  std::shared_ptr<FakeStoreTable> mTable = std::make_shared<FakeStoreTable>();
};

} // namespace lentilrack::gateway
