#pragma once

#include "core/desired_state.h"
#include "core/result.h"
#include "core/rollout_batch.h"
#include "core/server_registry.h"
#include "gateway/process_settings.h"
#include "net/http_types.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lentilrack::gateway {

/// Names of the headers of requests and responses, and of one event field.
struct HeaderNames
{
  std::string requestId;
  /// Milliseconds left until the deadline of the request.
  std::string timeLeft;
  /// Id of the only server that may execute the request.
  std::string expectedServer;
  /// Carries the mark that a server puts on each response (the stamp). A
  /// successful response without a stamp is not accepted.
  std::string stamp;
  /// Present on a response if the server did not execute the request.
  std::string notExecuted;
  /// Version of the weights at the start of the response.
  std::string weightVersion;
  /// Name, in lower case, of the event field that reports a change of the
  /// weights.
  std::string weightVersionField;
  /// Number of output tokens that the caller expects.
  std::string lengthHint;
  /// Number of the last event received, after which a stream is to resume.
  std::string lastEvent;
  /// How long a response may be delayed while there is nothing to report.
  std::string wait;
  /// Requests per second that the server takes from all instances together. A
  /// server states it in its responses while it needs to limit its load.
  std::string statedRate;
  /// Set to "1" in all responses of a server that is leaving.
  std::string leaving;
  /// Carries the API key of a caller.
  std::string apiKey;
  /// Names the organisation of the caller to a server.
  std::string organisation;
};

/// Reads the results of a batch from position `after` on. If there are none
/// yet, the response may be delayed for up to `wait`.
struct ReadBatch
{
  std::string id;
  std::size_t after = 0;
  core::Millis wait{ 0 };
};
/// Reads the body of an unfinished item.
struct ReadItemBody
{
  std::string id;
  std::string item;
};
/// Ends a batch.
struct EndBatch
{
  std::string id;
};
/// A request to be forwarded to a backend server: any request that is not a
/// call of the system's own interface.
struct ForwardRequest
{};
/// A request to the system's own interface that cannot be decoded.
struct MalformedCall
{
  std::string reason;
};
using ClassifiedRequest = std::
  variant<ForwardRequest, ReadBatch, ReadItemBody, EndBatch, MalformedCall>;

/// A version of a model's weights that a trainer has announced.
struct AnnouncedVersion
{
  std::string model;
  std::int64_t version = 0;
};

/// A backend server's report about itself.
struct ServerReport
{
  /// Loaded version of the weights, by model.
  std::map<std::string, std::int64_t> versions;
  /// True while the server is carrying out an order.
  bool isBusy = false;
  /// Number of orders that the server has accepted since it started.
  std::int64_t orderCount = 0;
};

/// An order to a server to load a version of its weights.
struct WeightOrder
{
  core::ServerEntry server;
  std::string model;
  std::int64_t version = 0;
  /// True if the server must finish its current runs with the old weights
  /// before it loads the new ones; false if it may load them during the runs.
  bool finishRunsFirst = false;
  /// Instance name of the leader that sends the order.
  std::string holder;
  /// Revision of the leader key when the sender became the leader. A later
  /// leader has a higher token.
  std::int64_t fencingToken = 0;
  /// Number of orders that the server has accepted before this order. The
  /// server refuses the order if its own count differs, so that an order that
  /// arrives late has no effect.
  std::int64_t priorOrderCount = 0;
};

/// The process that holds a duty at the provider.
struct DutyHolder
{
  std::string instance;
  /// A later holder has a higher token.
  std::int64_t fencingToken = 0;
};

/// Number of requests of each organisation that began to run in one window.
struct UsageReport
{
  /// Number of the window; window k begins k window lengths after the start of
  /// 1970.
  std::int64_t window = 0;
  std::map<std::string, std::int64_t> counts;
};

/// An order to the provider for the number of servers that a service should
/// have in a failure domain.
struct ServerCountOrder
{
  std::string service;
  std::string failureDomain;
  int servers = 0;
  /// Whether the order is for servers that the provider may take back. Each
  /// kind of server is counted separately.
  bool isReclaimable = false;
};

/// Keys and key prefixes of the store under which the operator and the backend
/// servers write.
struct StoreKeys
{
  std::string operatorPrefix;
  std::string desiredState;
  std::string serverPrefix;
};

/// Translates between this system and the platform on which it is deployed.
/// Names the headers and the store keys, decodes settings, stored values and
/// requests, and encodes orders and responses. Makes no decisions. If decoding
/// fails, the error is a text that names the field.
class WireFormat
{
public:
  template<typename T>
  using Decoded = core::Result<T, std::string>;

  virtual ~WireFormat() = default;

  virtual const HeaderNames& headers() const = 0;
  virtual const StoreKeys& storeKeys() const = 0;
  /// Decodes the settings file.
  virtual Decoded<ProcessSettings> decodeSettings(
    const std::string& text) const = 0;
  /// Decodes the desired state that the operator has written.
  virtual Decoded<core::DesiredState> decodeDesiredState(
    const std::string& text) const = 0;
  /// Decodes the directory entry of a server.
  virtual Decoded<core::ServerEntry> decodeServer(
    const std::string& key,
    const std::string& value) const = 0;
  /// Decodes a store item with which a trainer announces a version of the
  /// weights. Returns nothing if the key is of another kind.
  virtual std::optional<Decoded<AnnouncedVersion>> decodeAnnouncedVersion(
    const std::string& key,
    const std::string& value) const = 0;
  /// Returns the instance name from a key with which the operator requests that
  /// a storage machine be emptied. Returns nothing if the key is of another
  /// kind.
  virtual std::optional<std::string> decodeRetirementKey(
    const std::string& key) const = 0;
  /// Returns the key and the value that tell the operator, once written, that a
  /// storage machine holds no data any more.
  virtual std::pair<std::string, std::string> encodeRetirementDone(
    const std::string& instance) const = 0;

  /// Decodes a request as a call of the system's own interface. All other
  /// requests are to be forwarded.
  virtual ClassifiedRequest classifyRequest(
    const net::HttpRequest& request) const = 0;
  /// Decodes the body of a submission to the given host and path. Malformed
  /// fields are errors, also those that the system does not use.
  virtual Decoded<core::BatchSpec> decodeSubmission(
    const std::string& id,
    const std::string& host,
    const std::string& path,
    const std::string& body) const = 0;
  /// Decodes the body of a batch that was accepted, perhaps by an earlier
  /// version with fewer checks. Only what the system needs must be well-formed.
  virtual Decoded<core::BatchSpec> decodeBatch(
    const std::string& id,
    const std::string& host,
    const std::string& path,
    const std::string& body) const = 0;
  /// Encodes one result as trainers read it.
  virtual std::string encodeResult(const core::BatchSpec& batch,
                                   const core::ItemResult& result) const = 0;
  /// Encodes one page of results, each encoded by encodeResult(). `total` is
  /// the number of items of the batch, `next` the position after the last
  /// result of the page.
  virtual std::string encodeResults(
    std::size_t total,
    std::size_t next,
    const std::vector<std::string>& results) const = 0;

  /// Returns true if the request asks whether the process is ready.
  virtual bool isReadinessCall(const net::HttpRequest& request) const = 0;
  /// Returns true if the request asks for the addresses of instances.
  virtual bool isAddressCall(const net::HttpRequest& request) const = 0;
  /// Encodes a list of addresses that callers may cache for `ttl`.
  virtual std::string encodeAddresses(
    const std::vector<core::Endpoint>& addresses,
    core::Millis ttl) const = 0;

  /// Returns the request that sends the order to its server.
  virtual net::HttpRequest encodeOrder(const WeightOrder& order) const = 0;
  /// Returns the request for a server's report about itself.
  virtual net::HttpRequest encodeReportRequest(
    const core::ServerEntry& server) const = 0;
  /// Decodes the response to encodeReportRequest().
  virtual Decoded<ServerReport> decodeReport(const std::string& body) const = 0;

  /// Returns the request that reports the usage of a window to the provider.
  virtual net::HttpRequest encodeUsageReport(
    const DutyHolder& holder,
    const UsageReport& report) const = 0;
  /// Returns the request that orders servers from the provider.
  virtual net::HttpRequest encodeServerCountOrder(
    const DutyHolder& holder,
    const ServerCountOrder& order) const = 0;
};

} // namespace lentilrack::gateway
