// A directory that is removed with its object.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace violetusher::kit {

/// Throws std::runtime_error if it can't be created.
class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    std::string pattern = (std::filesystem::temp_directory_path() / "violetusher-XXXXXX").string();
    if (!::mkdtemp(pattern.data())) throw std::runtime_error("cannot create a temporary directory");
    path_ = pattern;
  }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  ~TemporaryDirectory() {
    std::error_code error;
    std::filesystem::remove_all(path_, error);
  }
  std::string path() const { return path_; }
  std::string file(const std::string& name) const { return path_ / name; }

 private:
  std::filesystem::path path_;
};

}  // namespace violetusher::kit
