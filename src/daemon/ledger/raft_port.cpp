#include "raft_port.hpp"

#include <algorithm>
#include <cstring>

#include "core/ledger/mutants.hpp"

namespace violetusher::ledger {
namespace {

using core::ledger::binary;
using core::ledger::bytes_of;
using core::ledger::mutant;
using core::ledger::Mutant;

constexpr std::size_t kMaxEntries = 4096;  // in one message
constexpr char kMembersVersion = 1;

bool consume_number(std::string_view& in, std::uint64_t& n) {
  if (in.size() < 8) return false;
  n = 0;
  for (int i = 0; i < 8; ++i)
    n |= static_cast<std::uint64_t>(static_cast<unsigned char>(in[static_cast<std::size_t>(i)]))
         << (8 * i);
  in.remove_prefix(8);
  return true;
}

raft_buffer copy(std::string_view bytes) {
  raft_buffer buffer{raft_malloc(std::max<std::size_t>(bytes.size(), 1)), bytes.size()};
  if (buffer.base && !bytes.empty()) std::memcpy(buffer.base, bytes.data(), bytes.size());
  return buffer;
}

std::string_view text(const raft_buffer& b) { return {static_cast<const char*>(b.base), b.len}; }

/// Entries in the form whose ownership Raft takes: one allocation holds the bytes of all of them.
raft_entry* make_entries(const std::vector<LogEntry>& from) {
  if (from.empty()) return nullptr;
  std::size_t size = 0;
  for (const LogEntry& e : from) size += (e.bytes.size() + 7) & ~std::size_t{7};
  auto* entries = static_cast<raft_entry*>(raft_calloc(from.size(), sizeof(raft_entry)));
  auto* batch = static_cast<char*>(raft_malloc(std::max<std::size_t>(size, 8)));
  std::size_t at = 0;
  for (std::size_t i = 0; i < from.size(); ++i) {
    const LogEntry& e = from[i];
    std::memcpy(batch + at, e.bytes.data(), e.bytes.size());
    entries[i] = {e.term, e.type, {batch + at, e.bytes.size()}, batch};
    at += (e.bytes.size() + 7) & ~std::size_t{7};
  }
  return entries;
}

std::string members_text(const raft_configuration& c) {
  std::vector<RaftMember> members;
  for (unsigned i = 0; i < c.n; ++i)
    members.push_back({c.servers[i].id, c.servers[i].address, c.servers[i].role});
  return write_members(members);
}

void fill(raft_configuration& c, std::string_view bytes) {
  raft_configuration_init(&c);
  for (const RaftMember& m : read_members(bytes))
    raft_configuration_add(&c, m.identity, m.address.c_str(), m.role);
}

Json encode(const raft_message& m) {
  switch (m.type) {
    case RAFT_IO_REQUEST_VOTE: {
      const auto& v = m.request_vote;
      return {m.type,          v.term,           v.candidate_id, v.last_log_index,
              v.last_log_term, v.disrupt_leader, v.pre_vote};
    }
    case RAFT_IO_REQUEST_VOTE_RESULT: {
      const auto& v = m.request_vote_result;
      return {m.type, v.term, v.vote_granted, static_cast<int>(v.pre_vote)};
    }
    case RAFT_IO_APPEND_ENTRIES: {
      const auto& a = m.append_entries;
      Json entries = Json::array();
      for (unsigned i = 0; i < a.n_entries; ++i)
        entries.push_back({a.entries[i].term, a.entries[i].type, binary(text(a.entries[i].buf))});
      return {m.type, a.term, a.prev_log_index, a.prev_log_term, a.leader_commit, entries};
    }
    case RAFT_IO_APPEND_ENTRIES_RESULT: {
      const auto& r = m.append_entries_result;
      return {m.type, r.term, r.rejected, r.last_log_index};
    }
    case RAFT_IO_INSTALL_SNAPSHOT: {
      const auto& s = m.install_snapshot;
      return {m.type,
              s.term,
              s.last_index,
              s.last_term,
              s.conf_index,
              binary(members_text(s.conf)),
              binary(text(s.data))};
    }
    default: {
      const auto& t = m.timeout_now;
      return {m.type, t.term, t.last_log_index, t.last_log_term};
    }
  }
}

/// Decodes a message. False if the value is not one; then nothing has been allocated.
bool decode(const Json& v, raft_message& m) {
  m.type = v.at(0).get<unsigned short>();
  auto number = [&](std::size_t i) { return v.at(i).get<std::uint64_t>(); };
  switch (m.type) {
    case RAFT_IO_REQUEST_VOTE:
      m.request_vote = {number(1), number(2),           number(3),
                        number(4), v.at(5).get<bool>(), v.at(6).get<bool>()};
      return true;
    case RAFT_IO_REQUEST_VOTE_RESULT:
      if (number(3) > raft_tribool_false) return false;
      m.request_vote_result = {number(1), v.at(2).get<bool>(),
                               static_cast<raft_tribool>(number(3))};
      return true;
    case RAFT_IO_APPEND_ENTRIES: {
      const Json& list = v.at(5);
      if (!list.is_array() || list.size() > kMaxEntries) return false;
      std::vector<LogEntry> entries;
      for (const Json& e : list) {
        if (!e.at(2).is_binary()) return false;
        entries.push_back(
            {0, e.at(0).get<std::uint64_t>(), e.at(1).get<unsigned short>(), bytes_of(e.at(2))});
        if (entries.back().type < RAFT_COMMAND || entries.back().type > RAFT_CHANGE) return false;
        if (entries.back().type == RAFT_CHANGE && read_members(entries.back().bytes).empty())
          return false;
      }
      m.append_entries = {number(1),
                          number(2),
                          number(3),
                          number(4),
                          make_entries(entries),
                          static_cast<unsigned>(entries.size())};
      return true;
    }
    case RAFT_IO_APPEND_ENTRIES_RESULT:
      m.append_entries_result = {number(1), number(2), number(3)};
      return true;
    case RAFT_IO_INSTALL_SNAPSHOT: {
      std::string members = bytes_of(v.at(5));
      if (read_members(members).empty() || !v.at(6).is_binary()) return false;
      auto& s = m.install_snapshot;
      s.term = number(1);
      s.last_index = number(2);
      s.last_term = number(3);
      s.conf_index = number(4);
      fill(s.conf, members);
      s.data = copy(bytes_of(v.at(6)));
      return true;
    }
    case RAFT_IO_TIMEOUT_NOW:
      m.timeout_now = {number(1), number(2), number(3)};
      return true;
  }
  return false;
}

}  // namespace

std::vector<RaftMember> read_members(std::string_view in) {
  std::vector<RaftMember> members;
  std::uint64_t count = 0;
  if (in.empty() || in[0] != kMembersVersion) return {};
  in.remove_prefix(1);
  if (!consume_number(in, count) || count > 64) return {};
  while (count-- > 0) {
    RaftMember m;
    if (!consume_number(in, m.identity) || m.identity == 0) return {};
    std::size_t end = in.find('\0');
    if (end == in.npos || end + 1 >= in.size()) return {};
    m.address = in.substr(0, end);
    m.role = static_cast<unsigned char>(in[end + 1]);
    if (m.role > RAFT_SPARE) return {};
    in.remove_prefix(end + 2);
    for (const RaftMember& o : members)
      if (o.identity == m.identity || o.address == m.address) return {};
    members.push_back(std::move(m));
  }
  return members;
}

std::string write_members(const std::vector<RaftMember>& members) {
  raft_configuration c;
  raft_configuration_init(&c);
  for (const RaftMember& m : members)
    raft_configuration_add(&c, m.identity, m.address.c_str(), m.role);
  raft_buffer buffer{};
  std::string bytes;
  if (raft_configuration_encode(&c, &buffer) == 0) {
    bytes = text(buffer);
    raft_free(buffer.base);
  }
  raft_configuration_close(&c);
  return bytes;
}

Members members_of(const Image& image) {
  for (auto e = image.log.rbegin(); e != image.log.rend(); ++e)
    if (e->type == RAFT_CHANGE) return {e->index, read_members(e->bytes)};
  if (!image.snapshot) return {};
  return {image.snapshot->members_index, read_members(image.snapshot->members)};
}

RaftPort::RaftPort(Storage& storage, Image&& image, const LogPosition& floor, Environment env)
    : storage_(storage), image_(std::move(image)), env_(std::move(env)), floor_(floor) {
  if (mutant(Mutant::kVoteForgotten)) image_.vote = 0;
  position_.term = image_.term;
  if (image_.snapshot) {
    position_.last_term = image_.snapshot->term;
    position_.last_index = image_.snapshot->index;
  }
  if (!image_.log.empty() && image_.log.back().index >= position_.last_index) {
    position_.last_term = image_.log.back().term;
    position_.last_index = image_.log.back().index;
  }
  next_index_ = position_.last_index + 1;
  io_.version = 1;
  io_.impl = this;
  io_.init = [](raft_io*, raft_id, const char*) { return 0; };
  io_.close = [](raft_io* io, raft_io_close_cb done) {
    of(io).tick_ = nullptr;
    of(io).receive_ = nullptr;
    of(io).cancel_all();
    if (done) done(io);
  };
  io_.load = [](raft_io* io, raft_term* term, raft_id* vote, raft_snapshot** snapshot,
                raft_index* start, raft_entry** entries, std::size_t* count) {
    return of(io).load(term, vote, snapshot, start, entries, count);
  };
  io_.start = [](raft_io* io, unsigned, raft_io_tick_cb tick, raft_io_recv_cb receive) {
    of(io).tick_ = tick;
    of(io).receive_ = receive;
    return 0;
  };
  // Groups are created and rescued by writing the storage before Raft starts.
  io_.bootstrap = [](raft_io*, const raft_configuration*) { return int{RAFT_CANTBOOTSTRAP}; };
  io_.recover = [](raft_io*, const raft_configuration*) { return int{RAFT_CANTBOOTSTRAP}; };
  io_.set_term = [](raft_io* io, raft_term term) {
    return of(io).commit_now({Op::with_number(Op::Kind::kTerm, term)});
  };
  io_.set_vote = [](raft_io* io, raft_id id) {
    return of(io).commit_now({Op::with_number(Op::Kind::kVote, id)});
  };
  io_.send = [](raft_io* io, raft_io_send* request, const raft_message* message,
                raft_io_send_cb done) { return of(io).send(request, *message, done); };
  io_.append = [](raft_io* io, raft_io_append* request, const raft_entry entries[], unsigned n,
                  raft_io_append_cb done) { return of(io).append(request, entries, n, done); };
  io_.truncate = [](raft_io* io, raft_index index) {
    RaftPort& port = of(io);
    port.next_index_ = index;
    port.pending_.push_back({{Op::with_number(Op::Kind::kTruncate, index)}, nullptr});
    return 0;
  };
  io_.snapshot_put = [](raft_io* io, unsigned trailing, raft_io_snapshot_put* request,
                        const raft_snapshot* snapshot, raft_io_snapshot_put_cb done) {
    return of(io).put_snapshot(trailing, request, *snapshot, done);
  };
  io_.snapshot_get = [](raft_io* io, raft_io_snapshot_get* request, raft_io_snapshot_get_cb done) {
    return of(io).get_snapshot(request, done);
  };
  io_.time = [](raft_io* io) { return static_cast<raft_time>(of(io).env_.now() / 1000); };
  io_.random = [](raft_io* io, int min, int max) {
    auto span = static_cast<std::uint64_t>(std::max(max - min, 1));
    return min + static_cast<int>(of(io).env_.random() % span);
  };
}

int RaftPort::load(raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* start,
                   raft_entry** entries, std::size_t* count) {
  *term = image_.term;
  *vote = image_.vote;
  *snapshot = nullptr;
  *start = 1;
  if (image_.snapshot) {
    const Snapshot& s = *image_.snapshot;
    auto* out = static_cast<raft_snapshot*>(raft_calloc(1, sizeof(raft_snapshot)));
    out->index = s.index;
    out->term = s.term;
    fill(out->configuration, s.members);
    out->configuration_index = s.members_index;
    out->bufs = static_cast<raft_buffer*>(raft_calloc(1, sizeof(raft_buffer)));
    out->bufs[0] = copy(s.bytes);
    out->n_bufs = 1;
    *snapshot = out;
    *start = s.index + 1;
  }
  if (!image_.log.empty()) *start = image_.log.front().index;
  *entries = make_entries(image_.log);
  *count = image_.log.size();
  for (LogEntry& e : image_.log) e.bytes.clear(), e.bytes.shrink_to_fit();
  return 0;
}

bool RaftPort::write(const std::vector<Op>& ops) {
  if (ops.empty()) return true;
  if (failed_) return false;
  if (mutant(Mutant::kTrimBeforeSnapshot) && delayed_.empty()) {
    // The injected fault: the log is trimmed at once, its snapshot is written with the next commit.
    std::vector<Op> first;
    bool later = false;
    for (const Op& op : ops) {
      if (op.kind == Op::Kind::kSnapshot) {
        delayed_.push_back(op);
        later = true;
      } else {
        first.push_back(op);
      }
    }
    if (later) {
      failed_ = !storage_.commit(first);
      return !failed_;
    }
  }
  std::vector<Op> all = std::move(delayed_);
  delayed_.clear();
  all.insert(all.end(), ops.begin(), ops.end());
  if (!storage_.commit(all)) {
    failed_ = true;
    return false;
  }
  for (const Op& op : ops) {
    if (op.kind == Op::Kind::kAppend)
      image_.log.push_back({op.entry.index, op.entry.term, op.entry.type, {}});
    if (op.kind == Op::Kind::kTruncate || op.kind == Op::Kind::kTrim) apply_ops(image_, {op});
    if (op.kind == Op::Kind::kTerm) position_.term = op.number;
    if (op.kind == Op::Kind::kAppend) {
      position_.last_term = op.entry.term;
      position_.last_index = op.entry.index;
    }
    if (op.kind == Op::Kind::kSnapshot) {
      LogPosition covered{position_.term, op.snapshot.term, op.snapshot.index};
      position_.raise(covered);
      image_.snapshot = op.snapshot;
    }
  }
  return true;
}

/// libraft 0.15 crashes if a term or a vote can't be written. So failures are not reported to it:
/// after a failed write the port sends nothing more and is closed.
int RaftPort::commit_now(std::vector<Op>&& ops) {
  write(ops);
  return 0;
}

int RaftPort::send(raft_io_send* request, const raft_message& message, raft_io_send_cb done) {
  bool withheld = message.type == RAFT_IO_REQUEST_VOTE && position_.log_before(floor_) &&
                  !mutant(Mutant::kFloorIgnored);
  if (!withheld && !failed_) {
    env_.send(message.server_id, message.server_address, encode(message));
  }
  pending_.push_back({{}, [request, done](int status) {
                        if (done) done(request, status);
                      }});
  return 0;
}

int RaftPort::append(raft_io_append* request, const raft_entry* entries, unsigned count,
                     raft_io_append_cb done) {
  PendingOps waiting{{}, [request, done](int status) { done(request, status); }};
  for (unsigned i = 0; i < count; ++i) {
    waiting.ops.push_back(Op::append(
        {next_index_++, entries[i].term, entries[i].type, std::string(text(entries[i].buf))}));
  }
  pending_.push_back(std::move(waiting));
  return 0;
}

int RaftPort::put_snapshot(unsigned trailing, raft_io_snapshot_put* request,
                           const raft_snapshot& snapshot, raft_io_snapshot_put_cb done) {
  Op put = Op::put({snapshot.index,
                    snapshot.term,
                    snapshot.configuration_index,
                    members_text(snapshot.configuration),
                    {}});
  for (unsigned i = 0; i < snapshot.n_bufs; ++i) put.snapshot.bytes += text(snapshot.bufs[i]);
  if (mutant(Mutant::kSnapshotLosesIndex)) ++put.snapshot.index;
  PendingOps waiting{{std::move(put)}, [request, done](int status) { done(request, status); }};
  if (trailing == 0) {
    // A snapshot from the leader replaces the whole log.
    waiting.ops.push_back(Op::with_number(Op::Kind::kTruncate, 0));
    next_index_ = snapshot.index + 1;
  } else if (snapshot.index > trailing) {
    waiting.ops.push_back(Op::with_number(Op::Kind::kTrim, snapshot.index - trailing));
  }
  pending_.push_back(std::move(waiting));
  return 0;
}

int RaftPort::get_snapshot(raft_io_snapshot_get* request, raft_io_snapshot_get_cb done) {
  pending_.push_back({{}, [this, request, done](int status) {
                        raft_snapshot* out = nullptr;
                        raft_term term;
                        raft_id vote;
                        raft_index start;
                        raft_entry* entries = nullptr;
                        std::size_t count = 0;
                        if (status == 0) {
                          Image only;
                          only.snapshot = image_.snapshot;
                          std::swap(image_, only);
                          load(&term, &vote, &out, &start, &entries, &count);
                          std::swap(image_, only);
                          if (!out) status = RAFT_NOTFOUND;
                        }
                        done(request, out, status);
                      }});
  return 0;
}

void RaftPort::cancel_all() {
  failed_ = true;
  while (!pending_.empty()) {
    auto waiting = std::move(pending_);
    pending_.clear();
    for (PendingOps& w : waiting)
      if (w.done) w.done(RAFT_CANCELED);
  }
}

bool RaftPort::flush() {
  while (!pending_.empty() && !failed_) {
    auto waiting = std::move(pending_);
    pending_.clear();
    std::vector<Op> ops;
    for (PendingOps& w : waiting)
      ops.insert(ops.end(), std::make_move_iterator(w.ops.begin()),
                 std::make_move_iterator(w.ops.end()));
    bool early = mutant(Mutant::kAcknowledgeBeforeSync);
    if (early)
      delayed_.insert(delayed_.end(), ops.begin(), ops.end());
    else
      write(ops);  // one sync for the whole batch
    if (failed_) {
      // Raft gets the failure when the port is closed.
      pending_.insert(pending_.begin(), std::make_move_iterator(waiting.begin()),
                      std::make_move_iterator(waiting.end()));
      break;
    }
    for (PendingOps& w : waiting)
      if (w.done) w.done(0);
  }
  return !failed_;
}

void RaftPort::tick() {
  if (mutant(Mutant::kAcknowledgeBeforeSync) && !delayed_.empty() && env_.random() % 64 == 0) {
    auto ops = std::move(delayed_);
    delayed_.clear();
    write(ops);
  }
  if (tick_) tick_(&io_);
}

void RaftPort::receive(std::uint64_t from, const std::string& address, const Json& value) {
  if (!receive_) return;
  raft_message message{};
  message.server_id = from;
  message.server_address = address.c_str();
  try {
    if (!value.is_array() || !decode(value, message)) return;
  } catch (const Json::exception&) {
    return;
  }
  if (message.type == RAFT_IO_REQUEST_VOTE && !mutant(Mutant::kFloorIgnored)) {
    const auto& v = message.request_vote;
    if (LogPosition{0, v.last_log_term, v.last_log_index}.log_before(floor_)) return;
  }
  flush();
  if (strip_snapshotted(message)) return;
  if (message.type == RAFT_IO_APPEND_ENTRIES && !failed_) {
    std::uint64_t at = conflict(message);
    if (at != 0 && at <= env_.members_index()) return replace_configuration_entry(at, message);
  }
  receive_(&io_, &message);
}

/// Removes entries that a local snapshot already covers; true if nothing remains of the message.
/// libraft 0.15 would append such entries to its log as new ones, and would install an older
/// snapshot over a newer one. The remaining entries follow one that is in the local log.
bool RaftPort::strip_snapshotted(raft_message& message) {
  std::uint64_t covered = image_.snapshot ? image_.snapshot->index : 0;
  if (message.type == RAFT_IO_INSTALL_SNAPSHOT) {
    auto& s = message.install_snapshot;
    if (s.last_index > covered) return false;
    raft_configuration_close(&s.conf);
    raft_free(s.data.base);
    return true;
  }
  if (message.type != RAFT_IO_APPEND_ENTRIES || covered == 0) return false;
  auto& a = message.append_entries;
  std::uint64_t first = image_.log.empty() ? covered : image_.log.front().index;
  if (a.n_entries == 0 || a.prev_log_index >= first) return false;
  std::uint64_t known = first - a.prev_log_index;
  if (known >= a.n_entries) {
    raft_free(a.entries[0].batch);
    raft_free(a.entries);
    return true;
  }
  a.prev_log_term = a.entries[known - 1].term;
  a.prev_log_index = first;
  std::memmove(a.entries, a.entries + known, (a.n_entries - known) * sizeof(raft_entry));
  a.n_entries -= static_cast<unsigned>(known);
  return false;
}

/// The index of the first entry on the disk that conflicts with the message; 0 if there is none.
std::uint64_t RaftPort::conflict(const raft_message& message) const {
  const auto& a = message.append_entries;
  if (a.term < position_.term || image_.log.empty()) return 0;
  std::uint64_t first = image_.log.front().index;
  auto term_at = [&](std::uint64_t index) {
    return index < first || index - first >= image_.log.size() ? 0 : image_.log[index - first].term;
  };
  std::uint64_t before = term_at(a.prev_log_index);
  if (before != 0 && before != a.prev_log_term) return 0;  // Raft will reject it
  for (unsigned i = 0; i < a.n_entries; ++i) {
    std::uint64_t index = a.prev_log_index + 1 + i, own = term_at(index);
    if (own != 0 && own != a.entries[i].term) return index;
  }
  return 0;
}

void RaftPort::replace_configuration_entry(std::uint64_t from, const raft_message& message) {
  const auto& a = message.append_entries;
  // In one commit with the new entries: the end of a log must never move backwards.
  std::vector<Op> ops;
  if (a.term > position_.term) ops.push_back(Op::with_number(Op::Kind::kTerm, a.term));
  ops.push_back(Op::with_number(Op::Kind::kTruncate, from));
  for (unsigned i = 0; i < a.n_entries; ++i) {
    std::uint64_t index = a.prev_log_index + 1 + i;
    if (index < from) continue;
    ops.push_back(Op::append(
        {index, a.entries[i].term, a.entries[i].type, std::string(text(a.entries[i].buf))}));
  }
  raft_free(a.entries[0].batch);
  raft_free(a.entries);
  reopen_needed_ = write(ops);
  failed_ = true;
}

}  // namespace violetusher::ledger
