#include "files.hpp"

#include <filesystem>
#include <fstream>

namespace violetusher::kit {

bool write_whole(const std::string& path, const std::string& text) {
  namespace fs = std::filesystem;
  std::string part = path + ".part";
  std::ofstream file(part, std::ios::binary | std::ios::trunc);
  file << text;
  file.close();
  std::error_code error;
  if (file) fs::rename(part, path, error);
  if (file && !error) return true;
  fs::remove(part, error);
  return false;
}

}  // namespace violetusher::kit
