#include "rollout_file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>

#include "net/operator_file.hpp"
#include "net/system_io.hpp"

namespace violetusher::ledger {
namespace {

namespace fs = std::filesystem;

/// Writes a file atomically and syncs it. Returns the error, or an empty string.
std::string write_atomically(const std::string& path, const std::string& text) {
  std::string temporary = path + ".half";
  net::Fd fd(::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644));
  bool good = static_cast<bool>(fd);
  for (std::size_t at = 0; good && at < text.size();) {
    ssize_t put = net::retry_interrupted(
        [&] { return ::write(fd.get(), text.data() + at, text.size() - at); });
    good = put > 0;
    if (good) at += static_cast<std::size_t>(put);
  }
  good = good && ::fsync(fd.get()) == 0 && ::rename(temporary.c_str(), path.c_str()) == 0;
  std::string why = good ? "" : path + ": " + std::strerror(errno);
  if (!good) ::unlink(temporary.c_str());
  return why;
}

void sync_folder(const std::string& path) {
  std::string folder = fs::path(path).parent_path();
  net::Fd fd(::open(folder.empty() ? "." : folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (fd) ::fsync(fd.get());
}

}  // namespace

std::optional<std::string> RolloutFile::label() const {
  std::string text, own;
  net::CallStatus status, own_status;
  net::read_regular_file(path_, text, &status);
  net::read_regular_file(path_ + ".own", own, &own_status);
  if (status.is_transient() || own_status.is_transient()) return std::nullopt;
  if (!status.done()) return "none";
  bool never_rolled = own_status.error == ENOENT;
  if (never_rolled || (own_status.done() && own == text)) return "own";
  return core::ledger::label(text);
}

std::string RolloutFile::stage(const core::ledger::Text& text) {
  std::string own, there;
  std::string why = net::read_regular_file(path_, there);
  if (!why.empty()) return path_ + ": " + why;
  net::CallStatus own_status;
  std::string own_why = net::read_regular_file(path_ + ".own", own, &own_status);
  if (own_status.error == ENOENT) {
    // This is the first roll-out of this file: it holds the router's own text.
    why = write_atomically(path_ + ".own", there);
    own = there;
  } else if (!own_status.done()) {
    return path_ + ".own: " + own_why;
  }
  if (why.empty()) why = write_atomically(path_ + ".before", there);
  if (why.empty()) why = write_atomically(staged(), text ? *text : own);
  if (why.empty()) sync_folder(path_);
  return why;
}

bool RolloutFile::swap() { return ::rename(staged().c_str(), path_.c_str()) == 0; }

bool RolloutFile::undo() {
  bool done = ::rename((path_ + ".before").c_str(), path_.c_str()) == 0;
  undo_pending_ = !done && errno != ENOENT;
  return done;
}

void RolloutFile::finish(const core::ledger::Text& text) {
  sync_folder(path_);
  ::unlink((path_ + ".before").c_str());
  // With its own text back, the file may be changed by hand again.
  if (!text) ::unlink((path_ + ".own").c_str());
}

}  // namespace violetusher::ledger
