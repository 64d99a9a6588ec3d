#pragma once

#include "gateway/coordination_store.h"

#include <cstddef>
#include <string>
#include <vector>

namespace lentilrack::gateway {

/// A result as it is stored and sent to callers: the index of its item and the
/// encoded text.
struct StoredResult
{
  std::size_t item = 0;
  std::string text;
};

/// Encodes results as the lines of one stored chunk.
std::string
encodeChunk(const std::vector<StoredResult>& results);

/// Decodes the lines of a stored chunk. Lines that are not results are skipped.
std::vector<StoredResult>
decodeChunk(const std::string& chunk);

/// Returns the results of one batch in order of their positions, up to the
/// first missing chunk. The key of a chunk ends with the position of its first
/// result.
std::vector<StoredResult>
joinChunks(std::vector<StoreItem> chunks);

} // namespace lentilrack::gateway
