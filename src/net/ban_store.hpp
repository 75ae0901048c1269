// The one owner of operators' bans. A ban is in force from promise() on, whatever the disk does; it
// is written by a thread of its own and tried again until it is durable. The file adds to what is
// held here and takes back only by an ONLINE line, never by being short, gone or unreadable.
#pragma once

#include <cstdint>
#include <deque>
#include <future>
#include <set>
#include <string>
#include <vector>

#include "ban_log.hpp"
#include "core/mutants.hpp"
#include "io.hpp"

namespace violetusher::net {

class BanStore {
 public:
  using Number = std::uint64_t;

  /// The file at `path`; an empty path keeps nothing, and all is known and durable at once.
  explicit BanStore(std::string path);

  /// From now on the server is out, or back; advance() writes it. The number of the promise.
  Number promise(const std::string& id, bool out);
  /// Whether the promise outlives a kill.
  bool durable(Number number) const {
    return number <= durable_to_ || core::mutant(core::Mutant::kAcknowledgeBeforeDurable);
  }
  /// Reads and writes what is due. True where it changed what is out.
  bool advance(Micros now);
  /// When to advance again.
  Micros next(Micros now) const;

  const std::set<std::string>& out() const { return out_; }
  /// Whether the file has been read to its end since the start, or never can be.
  bool known() const { return known_; }
  /// Why the file can't be read or written now; empty where it can.
  const std::string& trouble() const { return trouble_; }

 private:
  struct Promise {
    Number number;
    BanLine line;
  };

  void read();
  void take(const BanLine& line);
  void promise_again(const std::vector<BanLine>& told);
  void begin_write(Micros now);
  void end_write(Micros now);
  void show();

  std::string path_;
  BanLogReader reader_;
  std::set<std::string> in_file_, out_;
  std::deque<Promise> pending_;    // not durable yet, in their order
  std::vector<BanLine> written_;   // durable, and not read back yet
  std::future<CallStatus> write_;  // under way, of the first `writing_` of pending_
  std::size_t writing_ = 0;
  Number last_ = 0, durable_to_ = 0;
  Micros write_at_ = 0, pause_ = 0;
  bool known_ = false;
  bool readable_ = true;
  std::string trouble_, read_trouble_, write_trouble_;
};

}  // namespace violetusher::net
