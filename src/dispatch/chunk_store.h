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

/// One chunk of the weights of one version.
struct ChunkKey
{
  std::string model;
  std::int64_t version = 0;
  std::int64_t number = 0;

  auto operator<=>(const ChunkKey&) const = default;
};

/// Chunks of weights on a disk of bounded use. A chunk is written to a
/// temporary file that is renamed, and its file name carries its checksum,
/// which is compared whenever the chunk is read: a write that was cut off by a
/// crash is never served.
class ChunkStore
{
public:
  /// `limit`: bytes that the files may use.
  ChunkStore(std::filesystem::path directory, std::uint64_t limit);

  /// Creates the directory, removes what a crash has left and takes over whole
  /// chunks. False if the directory cannot be used.
  bool open();

  /// Nothing if the chunk is absent. One with a wrong checksum is removed.
  std::optional<std::string> read(const ChunkKey& key);
  /// Makes room by removing the chunks that were used least recently. False if
  /// the disk refused the write or the chunk is larger than the limit.
  bool write(const ChunkKey& key, const std::string& data);

  std::uint64_t bytes() const { return mBytes; }
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
  std::uint64_t mLimit;
  std::uint64_t mBytes = 0;
  std::map<ChunkKey, Entry> mChunks;
  /// Least recently used first.
  std::list<ChunkKey> mLruOrder;
};

/// Whether the model's name can be part of a file name and of a path without
/// escapes; weights of others are not cached.
bool
isCacheableModel(const std::string& model);

/// A whole number without sign; nothing for any other text.
std::optional<std::int64_t>
parseNonNegative(const std::string& text);

} // namespace lentilrack::dispatch
