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

/// Header names of requests and responses.
struct HeaderNames
{
  std::string requestId;
  /// Milliseconds left until the deadline of the request.
  std::string timeLeft;
  /// Id of the only server that may execute the request.
  std::string expectedServer;
  /// Mark of the server on its response. A success without it is not accepted.
  std::string stamp;
  /// Tells that the server did not execute the request.
  std::string notExecuted;
  /// Version of the weights at the start of the response.
  std::string weightVersion;
  /// Field of an event that reports a change of the weights, in lower case.
  std::string weightVersionField;
  std::string lastEvent;
  /// How long the response may be held back until there is something to report.
  std::string wait;
};

/// Reads the results of a batch from position `after` on. If there is none yet,
/// the response may be held back for up to `wait`.
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
/// Any request that is not a call of the system's own interface.
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
  std::map<std::string, std::int64_t> versions;
  bool isBusy = false;
  std::int64_t orderCount = 0;
};

/// An order to a server to load a version of its weights.
struct WeightOrder
{
  core::ServerEntry server;
  std::string model;
  std::int64_t version = 0;
  /// If true, the server finishes its runs with the old weights first.
  bool finishRunsFirst = false;
  std::string holder;
  std::int64_t fencingToken = 0;
  /// Number of orders that the server has accepted before. The server refuses
  /// the order if its own count differs, so that a late order has no effect.
  std::int64_t priorOrderCount = 0;
};

/// Keys under which the operator and the servers write to the store.
struct StoreKeys
{
  std::string operatorPrefix;
  std::string desiredState;
  std::string serverPrefix;
};

/// Translates between this system and the platform around it: names, formats
/// and calls. Makes no decisions. Errors are texts that name the field.
class WireFormat
{
public:
  template<typename T>
  using Decoded = core::Result<T, std::string>;

  virtual ~WireFormat() = default;

  /// Returns the header names.
  virtual const HeaderNames& headers() const = 0;
  /// Returns the keys of the operator and the servers.
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
  /// Decodes an announced version. Returns nothing if the key is of another
  /// kind.
  virtual std::optional<Decoded<AnnouncedVersion>> decodeAnnouncedVersion(
    const std::string& key,
    const std::string& value) const = 0;
  /// Returns the storage machine that the key requests to empty, or nothing if
  /// the key is of another kind.
  virtual std::optional<std::string> decodeRetirementKey(
    const std::string& key) const = 0;
  /// Returns the key and the value that tell the operator that a machine is
  /// empty.
  virtual std::pair<std::string, std::string> encodeRetirementDone(
    const std::string& instance) const = 0;

  /// Returns which call of the system's own interface a request is. All other
  /// requests are forwarded.
  virtual ClassifiedRequest classifyRequest(
    const net::HttpRequest& request) const = 0;
  /// Decodes the body of a submission to the given host and path.
  virtual Decoded<core::BatchSpec> decodeBatch(
    const std::string& id,
    const std::string& host,
    const std::string& path,
    const std::string& body) const = 0;
  /// Encodes one result as trainers read it.
  virtual std::string encodeResult(const core::BatchSpec& batch,
                                   const core::ItemResult& result) const = 0;
  /// Encodes a page of encoded results. `next` is the position after the last.
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
};

} // namespace lentilrack::gateway
