#include "gateway/batch_check.h"

#include "core/decimal.h"
#include "gateway/item_requests.h"
#include "net/message_syntax.h"
#include "net/request_syntax.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <set>

namespace lentilrack::gateway {

namespace {

/// Ids also stand, encoded, in the targets of calls between processes, whose
/// heads are limited to 16 KB.
constexpr std::size_t kMaxIdBytes = 1'000;
/// Names of fields in error texts are cut off after this many bytes.
constexpr std::size_t kMaxNamedBytes = 100;
/// Larger estimates of the number of tokens count as malformed.
constexpr double kMaxLengthHint = 1e9;

/// A field that is invalid and why.
struct InvalidField
{
  std::string field;
  std::string reason;
};

using Header = std::pair<std::string, std::string>;

/// Returns why the text cannot be the id of a request, or null. An id must
/// arrive as the value of a header without a change.
const char*
idProblem(std::string_view id)
{
  constexpr std::string_view kBlanks = " \t";
  if (id.empty()) {
    return "it is empty";
  }
  if (id.size() > kMaxIdBytes) {
    return "it is too long";
  }
  const bool hasOuterBlank = kBlanks.find(id.front()) != kBlanks.npos ||
                             kBlanks.find(id.back()) != kBlanks.npos;
  if (hasOuterBlank || !net::isFieldValue(id)) {
    return "it cannot be the value of a header";
  }
  return nullptr;
}

/// Returns why the text cannot be the path of an item or a reward call, or
/// null.
const char*
pathProblem(std::string_view path)
{
  return path.starts_with('/') && net::isRequestTarget(path)
           ? nullptr
           : "it is not a path of visible ASCII characters";
}

std::string
lowerCase(std::string_view text)
{
  std::string result(text);
  std::ranges::transform(
    text, result.begin(), [](unsigned char c) { return std::tolower(c); });
  return result;
}

bool
isAnyOf(std::string_view name, std::span<const std::string_view> names)
{
  return std::ranges::any_of(names, [&](std::string_view other) {
    return net::equalsIgnoringCase(name, other);
  });
}

/// Returns why a header of an item contradicts the rest of the item or
/// concerns the connection, or null.
const char*
headerProblem(const Header& header,
              const core::BatchSpec& batch,
              const core::BatchItem& item,
              const HeaderNames& names)
{
  const std::array<std::string_view, 10> reserved{
    "Connection",   "Keep-Alive", "Proxy-Connection",
    "TE",           "Trailer",    "Transfer-Encoding",
    "Upgrade",      "Expect",     names.expectedServer,
    names.lastEvent
  };
  const auto& [name, value] = header;
  const auto contradicts = [&](std::string_view own,
                               std::string_view expected) {
    return net::equalsIgnoringCase(name, own) && value != expected;
  };
  if (isAnyOf(name, reserved)) {
    return "only the system may set it";
  }
  if (contradicts(names.requestId, item.id)) {
    return "it is not the id of the item";
  }
  if (contradicts("Host", batch.host)) {
    return "it is not the host of the batch";
  }
  if (contradicts("Content-Length", std::to_string(item.body.size()))) {
    return "it is not the size of the body";
  }
  if (net::equalsIgnoringCase(name, names.lengthHint) && !value.empty()) {
    const auto hint = core::parseDecimal<double>(value);
    // The negated comparison also excludes what is not a number.
    if (!hint || !(*hint >= 0 && *hint <= kMaxLengthHint)) {
      return "it is not a number of tokens";
    }
  }
  return nullptr;
}

std::optional<InvalidField>
findHeaderProblem(const core::BatchSpec& batch,
                  const core::BatchItem& item,
                  const HeaderNames& names)
{
  std::set<std::string> seen;
  for (const auto& header : item.headers) {
    const bool isNew = seen.insert(lowerCase(header.first)).second;
    const char* problem =
      isNew ? headerProblem(header, batch, item, names) : "it is repeated";
    if (problem != nullptr) {
      return InvalidField{ "headers." + header.first, problem };
    }
  }
  return std::nullopt;
}

/// Returns why a request cannot be sent. `prefix` is put before the name of the
/// field.
std::optional<InvalidField>
findRequestProblem(const net::HttpRequest& request,
                   std::size_t maxHeadBytes,
                   const std::string& prefix)
{
  if (const auto problem = net::findProblem(request)) {
    return InvalidField{ prefix + problem->field, problem->reason };
  }
  if (net::headSize(request) > maxHeadBytes) {
    return InvalidField{ prefix + "headers",
                         fmt::format("with the path they exceed {} bytes",
                                     maxHeadBytes) };
  }
  return std::nullopt;
}

std::optional<InvalidField>
findRewardProblem(const core::RewardCall& call,
                  std::size_t maxHeadBytes,
                  const HeaderNames& names)
{
  if (const char* problem = idProblem(call.id)) {
    return InvalidField{ "scorer.id", problem };
  }
  if (call.host.empty() || !net::isHost(call.host)) {
    return InvalidField{ "scorer.host", "it is not a host" };
  }
  if (const char* problem = pathProblem(call.path)) {
    return InvalidField{ "scorer.path", problem };
  }
  return findRequestProblem(
    rewardRequestHead(call, names), maxHeadBytes, "scorer.");
}

std::optional<InvalidField>
findItemProblem(const core::BatchSpec& batch,
                const core::BatchItem& item,
                std::size_t maxHeadBytes,
                const HeaderNames& names)
{
  if (const char* problem = idProblem(item.id)) {
    return InvalidField{ "id", problem };
  }
  if (const char* problem = pathProblem(item.path)) {
    return InvalidField{ "path", problem };
  }
  if (auto problem = findRequestProblem(
        itemRequestHead(batch, item, names), maxHeadBytes, "")) {
    return problem;
  }
  if (auto problem = findHeaderProblem(batch, item, names)) {
    return problem;
  }
  return item.reward ? findRewardProblem(*item.reward, maxHeadBytes, names)
                     : std::nullopt;
}

} // namespace

std::optional<std::string>
findProblem(const core::BatchSpec& batch,
            std::size_t maxHeadBytes,
            const HeaderNames& names)
{
  std::set<std::string_view> ids;
  for (std::size_t i = 0; i < batch.items.size(); ++i) {
    const auto& item = batch.items[i];
    auto problem = findItemProblem(batch, item, maxHeadBytes, names);
    if (!problem && !ids.insert(item.id).second) {
      problem = InvalidField{ "id", "another item has it" };
    }
    if (problem) {
      return fmt::format("items[{}].{}: {}",
                         i,
                         problem->field.substr(0, kMaxNamedBytes),
                         problem->reason);
    }
  }
  return std::nullopt;
}

} // namespace lentilrack::gateway
