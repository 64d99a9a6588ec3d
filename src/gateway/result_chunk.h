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

/// Encodes a group of consecutive results as the value of one key in the store
/// (a result chunk), with one line per result.
std::string
encodeChunk(const std::vector<StoredResult>& results);

/// Decodes a result chunk, the value of one key in the store. Lines that are
/// not valid results are skipped.
std::vector<StoredResult>
decodeChunk(const std::string& chunk);

/// Returns the results of one batch in order of their positions, up to the
/// first missing result chunk. The key of a result chunk ends with the position
/// of its first result.
std::vector<StoredResult>
joinChunks(std::vector<StoreItem> chunks);

} // namespace lentilrack::gateway
