#pragma once

// The platform's store, samplers and a small deployment of gateways, as the
// pages describe them.

#include "http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <fstream>
#include <memory>
#include <sys/types.h>
#include <thread>

namespace review {

using Json = nlohmann::json;

/// Returns a loopback address that other runs of this program do not use.
std::string
loopback(int group, int host);

/// Writes record.txt, one line for each event, with the time in ms.
class Record
{
public:
  explicit Record(const std::string& path);
  bool isOpen() const { return mFile.is_open(); }
  void line(const std::string& text);
  std::int64_t now() const;

private:
  std::mutex mMutex;
  std::ofstream mFile;
  Clock::time_point mStart = Clock::now();
};

/// The platform's metadata store (PROTOCOL.md).
class Store
{
public:
  Store(const std::string& ip, Record& record);
  ~Store();
  const Address& address() const { return mServer->address(); }

  void put(const std::string& key, const std::string& value);

private:
  struct Item
  {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Event
  {
    std::string key;
    std::int64_t revision = 0;
    std::optional<Item> item;
  };
  struct Lease
  {
    Millis ttl{ 0 };
    Clock::time_point expiry;
  };

  bool handle(const Request& request, Connection& connection);
  std::pair<int, Json> execute(const Request& request);
  std::pair<int, Json> commit(const Json& body);
  std::pair<int, Json> watch(const Request& request);
  void write(const std::string& key, const std::string& value, std::int64_t lease);
  void erase(const std::string& key);
  Json encode(const std::string& key, const Item& item) const;
  void expireLeases();

  Record& mRecord;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, Item> mItems;
  std::vector<Event> mEvents;
  std::map<std::int64_t, Lease> mLeases;
  std::int64_t mRevision = 100;
  std::int64_t mNextLease = 7'000;
  std::atomic<bool> mIsStopped{ false };
  std::thread mExpiry;
  std::unique_ptr<Server> mServer;
};

/// One run of a request at a sampler.
struct Run
{
  std::string sampler;
  std::string id;
  std::string path;
  std::int64_t at = 0;
};

/// A sampler that runs plain requests and items, and takes orders for weights.
class Sampler
{
public:
  struct Options
  {
    std::string id;
    std::string service;
    std::string zone = "zone-a";
    std::string model;
    int slots = 8;
    Millis work{ 20 };
    /// Events of an item, and the time from one to the next.
    int events = 8;
    Millis pace{ 20 };
    /// Called with the holder of each order.
    std::function<void(const std::string&)> onOrder;
  };

  Sampler(const std::string& ip, Store& store, Record& record, Options options);
  ~Sampler();

  void publish(const std::string& state = "ready");
  std::vector<Run> runs() const;
  std::string stampOf(const std::string& request) const;
  void recordRun(const Request& request);

private:
  bool handle(const Request& request, Connection& connection);
  bool runPlain(const Request& request, Connection& connection);
  bool runItem(const Request& request, Connection& connection);
  bool report(Connection& connection);
  bool order(const Request& request, Connection& connection);

  Store& mStore;
  Record& mRecord;
  Options mOptions;
  std::int64_t mBorn = unixMillis();
  mutable std::mutex mMutex;
  std::vector<Run> mRuns;
  int mRunning = 0;
  std::int64_t mVersion = 1;
  std::int64_t mOrders = 0;
  std::int64_t mWrites = 0;
  Clock::time_point mBusyUntil{};
  std::unique_ptr<Server> mServer;
};

/// A gateway process, started with the command of the deploy file.
class Gateway
{
public:
  Gateway(std::string root,
          std::string folder,
          std::string name,
          std::string ip,
          Address store,
          Json settings);
  ~Gateway();

  void start(const std::vector<std::string>& seeds);
  void signal(int number) const;
  /// Returns true if the process has ended.
  bool hasEnded();
  /// How the process ended, once it has.
  std::string ending() const { return mEnding; }
  bool isReady() const;

  Address front() const { return { mIp, mPorts[0] }; }
  std::string control() const { return mIp + ":" + std::to_string(mPorts[2]); }
  const std::string& name() const { return mName; }

private:
  std::string mRoot;
  std::string mFolder;
  std::string mName;
  std::string mIp;
  Address mStore;
  Json mSettings;
  std::vector<int> mPorts;
  pid_t mPid = -1;
  int mStarts = 0;
  std::string mEnding;
};

/// A small deployment.
struct Deployment
{
  Deployment(const std::string& root,
             const std::string& folder,
             Record& record,
             int gateways,
             Json settings = Json::object());
  ~Deployment();

  /// Stores the desired state. `routes` and `services` as on the wire.
  void configure(const Json& routes, const Json& services, Json limits = {});
  /// Starts all processes and waits until they are ready.
  bool start(Millis timeout = Millis(12'000));
  /// Restarts, after a short delay, processes that have ended by themselves, as
  /// the platform does.
  void superviseOnce();
  void startSupervision();

  Record& record;
  std::unique_ptr<Store> store;
  std::vector<std::unique_ptr<Gateway>> gateways;
  /// Ends of processes that nobody asked for: "name: how".
  std::vector<std::string> unexpectedEnds() const;

private:
  std::vector<std::string> seeds() const;
  mutable std::mutex mMutex;
  std::vector<std::string> mUnexpected;
  std::map<std::string, Clock::time_point> mRestartAt;
  std::atomic<bool> mIsStopped{ false };
  std::thread mSupervisor;
};

Json
plainRoute(const std::string& prefix,
           const std::string& service,
           const std::string& kind = "idempotent",
           int maxAttempts = 2,
           int timeoutMs = 2'000);
Json
rolloutRoute(const std::string& prefix, const std::string& service);
Json
modelService(const std::string& name, const std::string& model, int slots);
Json
plainService(const std::string& name);

/// Host of all routes.
inline const std::string kHost = "desk.example";

} // namespace review
