// The operators' bans, kept where the next process of this router finds them: a file of lines, only
// ever appended to, that the old and the new process of a replacement both replay in its order, so
// that either may be called and both come to the same end.
//
//     OFFLINE ID
//     ONLINE ID
//
// A line that a kill has torn, or that is none of these, says nothing. A file past its bound is
// written anew with what still holds.
#pragma once

#include <set>
#include <string>

namespace violetusher::net {

class BanFile {
 public:
  static constexpr std::size_t kCompactAt = 64u << 10;  ///< bytes
  static constexpr std::size_t kMostOut = 4096;         ///< servers out at once

  /// The file at `path`; an empty path keeps nothing.
  explicit BanFile(std::string path) : path_(std::move(path)) {}

  /// Reads what has come to the file since. True where it changed what is out.
  bool poll();
  /// Writes that the server is out, or back. False where it could not be written.
  bool append(const std::string& id, bool out);
  /// What is out, as of the last poll().
  const std::set<std::string>& out() const { return out_; }

 private:
  void take_line(const std::string& line);
  bool compact();

  std::string path_;
  std::set<std::string> out_;
  std::string partial_;  // of a line whose end has not come
  unsigned long inode_ = 0;
  long at_ = 0;
};

}  // namespace violetusher::net
