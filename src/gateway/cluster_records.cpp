#include "gateway/cluster_records.h"

#include "core/json_limits.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <ctime>

namespace lentilrack::gateway {

namespace {

using core::Millis;
using Json = nlohmann::json;

/// Returns what `decode` makes of the JSON object in a value. Returns nothing
/// if the value is malformed: another writer may have left it.
template<typename Record, typename Decode>
std::optional<Record>
decodeRecord(const std::string& value, Decode decode)
{
  try {
    const auto json = core::parseJson(value);
    return json.is_object() ? std::optional<Record>(decode(json))
                            : std::nullopt;
  } catch (const core::JsonError&) {
    return std::nullopt;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::optional<core::Endpoint>
endpointOf(const Json& json, const char* name)
{
  return core::Endpoint::parse(json.value(name, ""));
}

} // namespace

namespace keys {

std::string
prefix()
{
  return std::string(kPrefix);
}

std::string
instance(const std::string& name)
{
  return std::string(kInstances) + name;
}

std::string
batch(const std::string& id)
{
  return std::string(kBatches) + id;
}

std::string
owner(const std::string& id)
{
  return std::string(kOwners) + id;
}

std::string
rate(const std::string& server)
{
  return std::string(kRates) + server;
}

std::string
serverOverrides(const std::string& service)
{
  return std::string(kServerOverrides) + service + "/";
}

std::string
leader()
{
  return std::string(kLeader);
}

std::string
dataPrefix(const std::string& id)
{
  return "lentilrack-data/" + id + "/";
}

std::string
bodyPart(const std::string& id, std::size_t index)
{
  return fmt::format("{}body/{:04}", dataPrefix(id), index);
}

std::string
resultsPrefix(const std::string& id)
{
  return dataPrefix(id) + "results/";
}

std::string
results(const std::string& id, std::size_t position)
{
  return fmt::format("{}{:08}", resultsPrefix(id), position);
}

} // namespace keys

Millis
unixNow()
{
  return std::chrono::duration_cast<Millis>(
    std::chrono::system_clock::now().time_since_epoch());
}

Millis
bootTime()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  constexpr std::int64_t kMillisPerSecond = 1000;
  constexpr std::int64_t kNanosPerMilli = 1'000'000;
  return Millis(now.tv_sec * kMillisPerSecond + now.tv_nsec / kNanosPerMilli);
}

std::string
StatedRate::encode() const
{
  return Json{ { "started", startedAt }, { "per_s", perSecond } }.dump();
}

std::optional<StatedRate>
StatedRate::decode(const core::MirroredItem& item)
{
  return decodeRecord<StatedRate>(item.value, [&](const Json& json) {
    return StatedRate{ json.value("started", std::int64_t{ 0 }),
                       json.value("per_s", 0.0),
                       item.revision };
  });
}

std::string
Peer::encode() const
{
  Json json = { { "failure_domain", failureDomain },
                { "processor_share", processorShare },
                { "leaving", isLeaving } };
  if (callerEndpoint) {
    json["callers"] = callerEndpoint->text();
  }
  if (peerEndpoint) {
    json["peers"] = peerEndpoint->text();
  }
  return json.dump();
}

std::optional<Peer>
Peer::decode(const core::MirroredItem& item)
{
  return decodeRecord<Peer>(item.value, [&](const Json& json) {
    return Peer{ item.key.substr(keys::kInstances.size()),
                 json.value("failure_domain", ""),
                 endpointOf(json, "callers"),
                 endpointOf(json, "peers"),
                 json.value("processor_share", 0.0),
                 json.value("leaving", false) };
  });
}

std::string
BatchRecord::encode() const
{
  Json json = { { "host", host },
                { "path", path },
                { "total", total },
                { "parts", bodyParts },
                { "model", model },
                { "work", estimatedTokens },
                { "submitted_at", submittedAt.count() },
                { "state", static_cast<int>(state) } };
  if (!organisation.empty()) {
    json["organisation"] = organisation;
  }
  return json.dump();
}

std::optional<BatchRecord>
BatchRecord::decode(const StoreItem& item)
{
  return decodeRecord<BatchRecord>(item.value, [&](const Json& json) {
    BatchRecord record;
    record.host = json.value("host", "");
    record.path = json.value("path", "");
    record.total = json.value("total", std::size_t{ 0 });
    record.bodyParts = json.value("parts", std::size_t{ 0 });
    record.model = json.value("model", "");
    record.organisation = json.value("organisation", "");
    // An estimate that was no number is stored as null. The batch must stay
    // readable.
    const auto& work = json.value("work", Json());
    record.estimatedTokens = work.is_number() ? work.get<double>() : 0;
    record.submittedAt = Millis(json.value("submitted_at", std::int64_t{ 0 }));
    record.state = static_cast<BatchState>(json.value("state", 0));
    record.revision = item.revision;
    return record;
  });
}

std::string
Holder::encode() const
{
  Json json = { { "instance", instance }, { "lifetime", incarnation } };
  if (!address.empty()) {
    json["address"] = address;
  }
  if (isSettled) {
    json["settled"] = true;
  }
  if (lease != 0) {
    json["lease"] = lease;
  }
  return json.dump();
}

std::optional<Holder>
Holder::decode(const StoreItem& item)
{
  return decodeRecord<Holder>(item.value, [&](const Json& json) {
    return Holder{ json.value("instance", ""),
                   json.value("lifetime", ""),
                   item.revision,
                   json.value("address", ""),
                   json.value("settled", false),
                   json.value("lease", std::int64_t{ 0 }) };
  });
}

} // namespace lentilrack::gateway
