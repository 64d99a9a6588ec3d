#include "gateway/result_chunk.h"

#include "core/decimal.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <string_view>

namespace lentilrack::gateway {

namespace {

std::optional<std::size_t>
positionOf(std::string_view key)
{
  return core::parseDecimal<std::size_t>(key.substr(key.rfind('/') + 1));
}

} // namespace

std::string
encodeChunk(const std::vector<StoredResult>& results)
{
  return std::accumulate(results.begin(),
                         results.end(),
                         std::string(),
                         [](std::string chunk, const StoredResult& result) {
                           chunk += std::to_string(result.item);
                           chunk += ' ';
                           chunk += result.text;
                           chunk += '\n';
                           return chunk;
                         });
}

std::vector<StoredResult>
decodeChunk(const std::string& chunk)
{
  std::vector<StoredResult> results;
  std::string_view rest = chunk;
  for (auto end = rest.find('\n'); end != std::string_view::npos;
       end = rest.find('\n')) {
    const auto line = rest.substr(0, end);
    rest.remove_prefix(end + 1);
    const auto space = line.find(' ');
    const auto item = core::parseDecimal<std::size_t>(line.substr(0, space));
    if (item && space != std::string_view::npos) {
      results.push_back({ *item, std::string(line.substr(space + 1)) });
    }
  }
  return results;
}

std::vector<StoredResult>
joinChunks(std::vector<StoreItem> chunks)
{
  std::ranges::sort(chunks, {}, &StoreItem::key);
  std::vector<StoredResult> results;
  for (const auto& chunk : chunks) {
    if (positionOf(chunk.key) == results.size()) {
      std::ranges::move(decodeChunk(chunk.value), std::back_inserter(results));
    }
  }
  return results;
}

} // namespace lentilrack::gateway
