#pragma once

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace lentilrack::testing {

/// Temporary directory that is removed with its content by the destructor.
class TemporaryDirectory
{
public:
  TemporaryDirectory()
  {
    auto pattern =
      (std::filesystem::temp_directory_path() / "lentilrack-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
      throw std::runtime_error("cannot create a temporary directory");
    }
    mPath = pattern;
  }
  ~TemporaryDirectory()
  {
    std::error_code ignored;
    std::filesystem::remove_all(mPath, ignored);
  }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  const std::filesystem::path& path() const { return mPath; }

private:
  std::filesystem::path mPath;
};

} // namespace lentilrack::testing
