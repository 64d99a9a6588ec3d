#pragma once

#include <cstdint>
#include <filesystem>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>

namespace lentilrack::dispatch {

/// Identifies one chunk of a model version's weights.
struct ChunkKey
{
  std::string model;
  std::int64_t version = 0;
  std::int64_t number = 0;

  auto operator<=>(const ChunkKey&) const = default;
};

/// Stores chunks of weights in a directory of bounded size. Writes each chunk
/// to a temporary file, which is renamed when it is complete. The final file
/// name contains the checksum of the chunk. Every read verifies the checksum,
/// so that a file that a crash left incomplete is never served.
class ChunkStore
{
public:
  /// `limit` is the maximum total size of the files, in bytes.
  ChunkStore(std::filesystem::path directory, std::uint64_t limit);

  /// Creates the directory, removes temporary files that a crash has left
  /// behind and registers the existing chunks. Returns false if the directory
  /// cannot be used.
  bool open();

  /// Returns the chunk's data, or nothing if it is not stored. A chunk with a
  /// wrong checksum is removed and counts as not stored.
  std::optional<std::string> read(const ChunkKey& key);
  /// Stores a chunk, after evicting the least recently used chunks if there is
  /// no room. Returns false if the write failed, the chunk is larger than the
  /// limit or the model cannot be cached; see isCacheableModel().
  bool write(const ChunkKey& key, const std::string& data);

  /// Total size of the stored chunks, in bytes.
  std::uint64_t bytes() const { return mBytes; }
  /// Number of stored chunks.
  std::size_t size() const { return mChunks.size(); }

private:
  struct Entry
  {
    std::filesystem::path path;
    std::uint64_t bytes = 0;
    std::string checksum;
    std::list<ChunkKey>::iterator lruPosition;
  };

  void addEntry(const ChunkKey& key,
                std::filesystem::path path,
                std::uint64_t bytes,
                std::string checksum);
  void remove(const ChunkKey& key);

  std::filesystem::path mDirectory;
  std::uint64_t mSizeLimit;
  std::uint64_t mBytes = 0;
  std::map<ChunkKey, Entry> mChunks;
  /// Keys of the stored chunks, least recently used first.
  std::list<ChunkKey> mLruOrder;
};

/// True if the model's name can be used in a file name and in a URL path
/// without escaping. Weights of other models are not cached.
bool
isCacheableModel(const std::string& model);

/// Parses a decimal integer without a sign. Returns nothing for any other text.
std::optional<std::int64_t>
parseNonNegative(const std::string& text);

} // namespace lentilrack::dispatch
