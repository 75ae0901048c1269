#include "faulty_disk.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <vector>

namespace violetusher::chaos {
namespace {

namespace fs = std::filesystem;

struct Write {
  UndoRecord record;
  std::string before;
};

std::vector<Write> read_undo(const std::string& path) {
  std::vector<Write> writes;
  std::ifstream in(path, std::ios::binary);
  Write w;
  while (in.read(reinterpret_cast<char*>(&w.record), sizeof w.record)) {
    w.before.resize(w.record.length);
    // A record that was torn has no write after it.
    if (!in.read(w.before.data(), static_cast<std::streamsize>(w.before.size()))) break;
    writes.push_back(w);
  }
  return writes;
}

}  // namespace

std::size_t undo_unsynced(const std::string& folder, std::size_t kept) {
  std::size_t undone = 0;
  std::error_code error;
  std::vector<fs::path> undos;
  for (const auto& entry : fs::directory_iterator(folder, error))
    if (entry.path().extension() == ".undo") undos.push_back(entry.path());
  for (const fs::path& undo : undos) {
    auto writes = read_undo(undo);
    std::string file = fs::path(undo).replace_extension("");
    int fd = ::open(file.c_str(), O_WRONLY | O_CLOEXEC);
    for (std::size_t i = writes.size(); fd >= 0 && i > kept; --i) {
      const Write& w = writes[i - 1];
      if (::pwrite(fd, w.before.data(), w.before.size(), static_cast<off_t>(w.record.offset)) < 0 ||
          ::ftruncate(fd, static_cast<off_t>(w.record.size)) != 0)
        break;
      ++undone;
    }
    if (fd >= 0) ::close(fd);
    fs::remove(undo, error);
  }
  return undone;
}

}  // namespace violetusher::chaos
