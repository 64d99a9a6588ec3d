#include "gateway/usage_messages.h"

#include "core/json_limits.h"

namespace lentilrack::gateway {

namespace {

using Json = nlohmann::json;

/// Returns what `decode` makes of the text, or nothing if the text is
/// malformed.
template<typename Decode>
auto
decodeOrNothing(const std::string& text, Decode decode)
  -> std::optional<decltype(decode(Json()))>
{
  try {
    return decode(core::parseJson(text));
  } catch (const core::JsonError&) {
    return std::nullopt;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

} // namespace

std::string
encodeUsageUpdates(const std::vector<UsageUpdate>& updates)
{
  auto list = Json::array();
  for (const auto& update : updates) {
    list.push_back({ { "source", update.source },
                     { "window", update.window },
                     { "counts", Json(update.counts) } });
  }
  return list.dump();
}

std::optional<std::vector<UsageUpdate>>
decodeUsageUpdates(const std::string& text)
{
  return decodeOrNothing(text, [](const Json& list) {
    std::vector<UsageUpdate> updates;
    for (const auto& json : list.get_ref<const Json::array_t&>()) {
      updates.push_back({ json.at("source").get<std::string>(),
                          json.at("window").get<std::int64_t>(),
                          json.at("counts").get<core::UsageCounts>() });
    }
    return updates;
  });
}

std::string
encodeStoredUsage(const core::StoredUsage& record)
{
  auto reports = Json::array();
  for (const auto& [window, counts] : record.reports) {
    reports.push_back({ { "window", window }, { "counts", Json(counts) } });
  }
  return Json{
    { "last", record.lastWindow }, { "reports", std::move(reports) }
  }.dump();
}

std::optional<core::StoredUsage>
decodeStoredUsage(const std::string& text)
{
  return decodeOrNothing(text, [](const Json& json) {
    core::StoredUsage record;
    record.lastWindow = json.at("last").get<std::int64_t>();
    for (const auto& report :
         json.at("reports").get_ref<const Json::array_t&>()) {
      record.reports[report.at("window").get<std::int64_t>()] =
        report.at("counts").get<core::UsageCounts>();
    }
    return record;
  });
}

} // namespace lentilrack::gateway
