#pragma once

// Helpers shared by the message codecs. Included only by their sources.

#include "wire/messages.h"

#include <array>
#include <limits>

namespace lentilrack::wire {

constexpr std::int64_t kMaxTokens = 10'000'000;
constexpr std::int64_t kMaxMillis = 24LL * 3600 * 1000;
constexpr std::int64_t kMaxVersion = std::numeric_limits<std::int64_t>::max();

/// Names of the values of an enum, as used on the wire.
template<typename T, std::size_t N>
using EnumNames = std::array<std::pair<T, const char*>, N>;

/// Returns the name of an enum value; empty if it is not in the list.
template<typename T, std::size_t N>
std::string
enumName(const EnumNames<T, N>& names, T value)
{
  for (const auto& [candidate, name] : names) {
    if (candidate == value) {
      return name;
    }
  }
  return "";
}

/// Reads an enum value by its name. Throws DecodeException if the field is
/// missing or its name is unknown.
template<typename T, std::size_t N>
T
readEnum(ObjectReader& reader, const char* field, const EnumNames<T, N>& names)
{
  const auto text = reader.required<std::string>(field);
  for (const auto& [value, name] : names) {
    if (text == name) {
      return value;
    }
  }
  reader.fail(field, "has the unknown value \"" + text + "\"");
}

/// Returns the decoded value, or throws its error as a DecodeException.
template<typename T>
T
valueOrThrow(Decoded<T> decoded)
{
  if (!decoded) {
    throw DecodeException(decoded.error());
  }
  return std::move(decoded).value();
}

template<typename T>
std::vector<T>
readList(ObjectReader& reader, const char* field)
{
  std::vector<T> values;
  for (const auto& item : reader.optional<Json>(field, Json::array())) {
    values.push_back(valueOrThrow(decode<T>(item)));
  }
  return values;
}

template<typename T>
Json
encodeList(const std::vector<T>& values)
{
  Json list = Json::array();
  for (const auto& value : values) {
    list.push_back(encode(value));
  }
  return list;
}

inline Json
encodeProcessId(const core::ProcessId& id)
{
  return { { "name", id.name }, { "incarnation", id.incarnation } };
}

inline core::ProcessId
readProcessId(ObjectReader& outer, const char* field)
{
  auto reader = outer.nestedReader(field);
  core::ProcessId id{ reader.required<std::string>("name"),
                      reader.required<std::uint64_t>("incarnation") };
  reader.rejectUnknownFields();
  return id;
}

inline core::Endpoint
readEndpoint(ObjectReader& reader, const char* field)
{
  const auto text = reader.required<std::string>(field);
  const auto endpoint = core::Endpoint::parse(text);
  if (!endpoint) {
    reader.fail(field, "is not an address with a port");
  }
  return *endpoint;
}

inline core::Millis
readMillis(ObjectReader& reader, const char* field)
{
  return core::Millis(reader.integerOr(field, 0, kMaxMillis, 0));
}

inline Json
encodeTargetLoad(const core::TargetLoad& load)
{
  return {
    load.servers, load.slots, load.running, load.queuedTokens, load.tokenRate
  };
}

inline core::TargetLoad
readTargetLoad(ObjectReader& reader, const Json& json)
{
  if (!json.is_array() || json.size() != 5) {
    reader.fail("load", "must hold five numbers for each target");
  }
  return { json[0].get<std::int64_t>(),
           json[1].get<std::int64_t>(),
           json[2].get<std::int64_t>(),
           json[3].get<double>(),
           json[4].get<double>() };
}

} // namespace lentilrack::wire
