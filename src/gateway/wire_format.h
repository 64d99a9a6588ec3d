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

/// Header names of requests and answers.
struct HeaderNames
{
  std::string requestId;
  /// Milliseconds that are left to a request.
  std::string timeLeft;
  /// Only the server of this id may run the request.
  std::string expectedServer;
  /// A server's own mark on an answer; a success without it is none.
  std::string stamp;
  /// The server did not run the request.
  std::string notExecuted;
  /// Version of the weights at the start of an answer.
  std::string weightVersion;
  /// Field of an event that tells a change of the weights, in lower case.
  std::string weightVersionField;
  std::string lastEvent;
  /// How long an answer may be held until there is something to tell.
  std::string wait;
};

/// What a caller asks of an instance besides requests that are forwarded.
struct ReadBatch
{
  std::string id;
  std::size_t after = 0;
  core::Millis wait{ 0 };
};
struct ReadItemBody
{
  std::string id;
  std::string item;
};
struct EndBatch
{
  std::string id;
};
struct ForwardRequest
{};
/// A call to the system's own interface that cannot be read.
struct MalformedCall
{
  std::string reason;
};
using CallerCall = std::
  variant<ForwardRequest, ReadBatch, ReadItemBody, EndBatch, MalformedCall>;

/// The version of a model's weights that a trainer has named.
struct AnnouncedVersion
{
  std::string model;
  std::int64_t version = 0;
};

/// What a backend server says when it is asked directly.
struct ServerReport
{
  std::map<std::string, std::int64_t> versions;
  bool isBusy = false;
  std::int64_t orderCount = 0;
};

/// An order to a server to change its weights.
struct WeightOrder
{
  core::ServerEntry server;
  std::string model;
  std::int64_t version = 0;
  /// Runs finish under the old version before the change.
  bool finishRunsFirst = false;
  std::string holder;
  std::int64_t fencingToken = 0;
  /// Orders that the server has accepted before; another number refuses this
  /// one, however late it arrives.
  std::int64_t priorOrderCount = 0;
};

/// Where the operator and the servers write in the store.
struct StoreKeys
{
  std::string operatorPrefix;
  std::string desiredState;
  std::string serverPrefix;
};

/// Names, formats and calls of the systems around this one. It decides
/// nothing. Errors are texts that name the field.
class WireFormat
{
public:
  template<typename T>
  using Decoded = core::Result<T, std::string>;

  virtual ~WireFormat() = default;

  virtual const HeaderNames& headers() const = 0;
  virtual const StoreKeys& storeKeys() const = 0;
  virtual Decoded<ProcessSettings> decodeSettings(
    const std::string& text) const = 0;
  virtual Decoded<core::DesiredState> decodeDesiredState(
    const std::string& text) const = 0;
  /// The server that an entry of the directory describes.
  virtual Decoded<core::ServerEntry> decodeServer(
    const std::string& key,
    const std::string& value) const = 0;
  /// Nothing if the key is of another kind.
  virtual std::optional<Decoded<AnnouncedVersion>> decodeAnnouncedVersion(
    const std::string& key,
    const std::string& value) const = 0;
  /// The storage machine that a key asks to empty.
  virtual std::optional<std::string> decodeRetirementKey(
    const std::string& key) const = 0;
  /// Key and value that tell the operator that a machine is empty.
  virtual std::pair<std::string, std::string> encodeRetirementDone(
    const std::string& instance) const = 0;

  virtual CallerCall classifyRequest(const net::HttpRequest& request) const = 0;
  virtual Decoded<core::BatchSpec> decodeBatch(
    const std::string& id,
    const std::string& host,
    const std::string& path,
    const std::string& body) const = 0;
  virtual std::string encodeResult(const core::BatchSpec& batch,
                                   const core::ItemResult& result) const = 0;
  virtual std::string encodeResults(
    std::size_t total,
    std::size_t next,
    const std::vector<std::string>& results) const = 0;

  virtual bool isReadinessCall(const net::HttpRequest& request) const = 0;
  virtual bool isAddressCall(const net::HttpRequest& request) const = 0;
  virtual std::string encodeAddresses(
    const std::vector<core::Endpoint>& addresses,
    core::Millis ttl) const = 0;

  virtual net::HttpRequest encodeOrder(const WeightOrder& order) const = 0;
  virtual net::HttpRequest encodeReportRequest(
    const core::ServerEntry& server) const = 0;
  virtual Decoded<ServerReport> decodeReport(const std::string& body) const = 0;
};

} // namespace lentilrack::gateway
