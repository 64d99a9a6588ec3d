#pragma once

#include "net/http_client.h"
#include "net/http_server.h"
#include "soak/store_server.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace lentilrack::review {

using core::Clock;
using core::Millis;
using core::TimePoint;

/// Writes what was sent, answered and run, with the time since the start.
class Record
{
public:
  explicit Record(const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void line(const std::string& text);
  Millis now() const;

private:
  std::FILE* mFile;
  TimePoint mStart = Clock::now();
};

/// A lentilrack-gateway, started as the deploy file says, on a loopback address
/// of its own.
class Gateway
{
public:
  Gateway(std::string folder,
          int index,
          const core::Endpoint& store,
          int memoryMegabytes);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  const std::string& name() const { return mName; }
  core::Endpoint front() const { return { mAddress, mPorts[0] }; }
  core::Endpoint readiness() const { return { mAddress, mPorts[1] }; }
  core::Endpoint control() const { return { mAddress, mPorts[2] }; }

  void start(const std::vector<core::Endpoint>& seeds);
  void signal(int number) const;
  /// Returns true if the process runs.
  bool isRunning();
  /// Kills the process and waits for its end.
  void kill();
  /// Returns the resident memory of the process in bytes.
  std::size_t residentBytes() const;
  /// Returns the number of open file descriptors of the process.
  std::size_t openFiles() const;

private:
  std::string mFolder;
  std::string mName;
  std::string mAddress;
  core::Endpoint mStore;
  int mMemoryMegabytes;
  std::vector<std::uint16_t> mPorts;
  pid_t mPid = 0;
};

class Deployment;

/// A backend server. It follows the users' pages: it echoes the id of a request,
/// stamps its answers, refuses with X-Not-Executed when its queue is full, and
/// drops a request whose connection closes.
class Sampler
{
public:
  Sampler(Deployment& deployment, std::string service, std::string model);

  const std::string& id() const { return mId; }
  /// Removes the entry from the store, closes the port and all connections.
  void end();

  int slots = 4;
  int queueLength = 12;
  /// Time of a plain request.
  Millis work{ 20 };
  /// Number of events of an item and the time between them.
  int events = 8;
  Millis pause{ 40 };
  /// Returns true if the answer of a plain request, which has run, is lost.
  std::function<bool()> losesAnswer;

private:
  net::Awaitable<void> handle(net::HttpExchange& exchange);
  net::Awaitable<void> runPlain(net::HttpExchange& exchange);
  net::Awaitable<void> runItem(net::HttpExchange& exchange);
  net::Headers answerHeaders(const net::HttpRequest& request) const;
  net::HttpResponse report() const;
  net::Awaitable<bool> takeSlot(net::HttpExchange& exchange);

  Deployment& mDeployment;
  std::string mService;
  std::string mModel;
  std::string mId;
  std::unique_ptr<net::HttpServer> mServer;
  core::Endpoint mEndpoint;
  int mRunning = 0;
  int mQueued = 0;
};

struct Run
{
  std::string request;
  std::string sampler;
  Millis at{ 0 };
};

/// The users' platform and machines of a small deployment.
class Deployment
{
public:
  Deployment(net::asio::io_context& io, Record& record, std::string folder);

  net::asio::io_context& io;
  Record& record;
  soak::StoreServer store;
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::vector<std::unique_ptr<Sampler>> samplers;
  /// All plain requests and items that samplers began to work on.
  std::vector<Run> runs;

  void addGateways(int count, int memoryMegabytes = 110);
  Sampler& addSampler(const std::string& service, const std::string& model);
  /// Writes the desired state: an idempotent route "/lookup/", a reward route
  /// "/reward/" and a rollout route "/batch/".
  void writeDesiredState(int lookupAttempts = 2);
  /// Starts all gateways and waits until they are ready. Returns false if one
  /// does not become ready.
  net::Awaitable<bool> start();
  void kill();

  std::vector<core::Endpoint> seeds() const;
  /// Returns the gateway that owns the batch according to the store; null if
  /// none does.
  Gateway* ownerOf(const std::string& batch);

private:
  std::string mFolder;
  int mVersion = 0;
};

inline constexpr const char* kHost = "orders.example";
inline constexpr const char* kModel = "model-a";

net::Headers
callerHeaders(const std::string& requestId);

/// Returns the body of a submission.
std::string
batchBody(const std::string& id, int groups, int itemsPerGroup, int desired);

/// Returns whether the disruption is to be left out.
bool
isCalm();

/// Exit statuses of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

} // namespace lentilrack::review
