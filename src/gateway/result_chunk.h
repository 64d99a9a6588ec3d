#pragma once

#include "gateway/coordination_store.h"

#include <cstddef>
#include <string>
#include <vector>

namespace lentilrack::gateway {

/// One result as it is stored and shown: its item and the text that callers
/// read.
struct StoredResult
{
  std::size_t item = 0;
  std::string text;
};

/// Lines of a stored chunk of results, and back.
std::string
encodeChunk(const std::vector<StoredResult>& results);
std::vector<StoredResult>
decodeChunk(const std::string& chunk);

/// The results in the chunks of one batch by position, up to the first gap.
/// The key of a chunk ends with the position of its first result.
std::vector<StoredResult>
joinChunks(std::vector<StoreItem> chunks);

} // namespace lentilrack::gateway
