#include "list_file.hpp"

#include <cerrno>
#include <functional>
#include <nlohmann/json.hpp>

namespace violetusher::net {
namespace {

using Json = nlohmann::json;

constexpr int kFormat = 1;
constexpr std::size_t kMaxBytes = 16u << 20;
// A file that can't be read so many times in a row is replaced unread.
constexpr int kMaxFailedReads = 20;

/// An entry in discovery's own form, which parse_host_list() reads.
Json entry_of(const Host& host) {
  return {{"host", host.server.id},      {"dial", host.dial},
          {"site", host.server.zone},    {"class", host.server.kind},
          {"block", host.server.cell},   {"health", health_name(host.server.health)},
          {"share", host.server.weight}, {"born_ms", host.listed_start / kMillisecond}};
}

std::size_t hash_of(const std::string& text) { return std::hash<std::string>()(text); }

/// ENOENT, and a stamp of zeros, if there is no file.
CallStatus stamp_of(const std::string& path, FileStamp& stamp) {
  stamp = {};
  struct stat info {};
  if (::stat(path.c_str(), &info) != 0) return CallStatus::failed();
  stamp = {info.st_ino, info.st_size, info.st_mtim.tv_sec * 1'000'000'000 + info.st_mtim.tv_nsec};
  return {};
}

/// Reads the file whose stamp was `found`; one that replaces it meanwhile has another, and is read
/// again. `own_hash`: of the text that this process wrote last.
ListFile::ReadResult read_list(const std::string& path, const std::atomic<std::size_t>& own_hash,
                               FileStamp found) {
  ListFile::ReadResult result;
  result.stamp = found;
  std::string text;
  result.status = read_whole_file(path, kMaxBytes, text);
  if (!result.status.done() || hash_of(text) == own_hash) return result;
  try {
    result.stored = parse_stored_list(text);
  } catch (const ConfigError& e) {
    result.invalid_reason = e.what();
  }
  return result;
}

CallStatus replace_unless_changed(const std::string& path, const std::string& text,
                                  const FileStamp& expected) {
  File directory;
  // Where directories can't be locked, the check below is all there is.
  CallStatus locked = lock_directory_of(path, directory);
  if (locked.result == CallResult::kWouldBlock) return locked;
  FileStamp found;
  CallStatus status = stamp_of(path, found);
  if (!status.done() && status.error != ENOENT) return status;
  if (found != expected) return CallStatus::failed(EAGAIN);
  // Not synced: the file outlives its process without that, and a sync may fail or take seconds.
  return replace_file(path, text, Durability::kProcess);
}

}  // namespace

std::string text_of(const StoredList& stored) {
  Json hosts = Json::array();
  for (const Host& host : stored.list.hosts) hosts.push_back(entry_of(host));
  Json all{{"format", kFormat},
           {"discovery", stored.identity.discovery},
           {"count_restarted_us", stored.identity.count_restarted_at},
           {"confirmed_us", stored.identity.confirmed_at},
           {"received_us", stored.received_at},
           {"date_us", stored.list.date},
           {"stored_us", stored.stored_at},
           {"list", {{"seq", stored.identity.version}, {"whole", true}, {"hosts", hosts}}}};
  return all.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

StoredList parse_stored_list(const std::string& text) {
  try {
    Json all = Json::parse(text);
    if (all.at("format").get<int>() != kFormat) throw ConfigError("another format");
    StoredList stored;
    stored.list = parse_host_list(all.at("list"));
    if (!stored.list.fault.empty()) throw ConfigError(stored.list.fault);
    stored.identity.discovery = all.at("discovery").get<std::string>();
    stored.identity.count_restarted_at = all.at("count_restarted_us").get<Micros>();
    stored.identity.confirmed_at = all.at("confirmed_us").get<Micros>();
    stored.identity.version = stored.list.version;
    stored.received_at = all.at("received_us").get<Micros>();
    stored.list.date = all.at("date_us").get<Micros>();
    stored.stored_at = all.at("stored_us").get<Micros>();
    return stored;
  } catch (const Json::exception& e) {
    throw ConfigError(e.what());
  }
}

CallStatus ListFile::start_read_if_replaced() {
  FileStamp found;
  CallStatus status = stamp_of(path_, found);
  if (status.error == ENOENT) known_ = replaceable_ = {};
  if (!status.done() || found == known_ || reading()) return status;
  read_.start([this, found] { return read_list(path_, written_hash_, found); });
  return {};
}

std::optional<ListFile::ReadResult> ListFile::take_read_result() {
  std::optional<ReadResult> result = read_.take_result();
  if (!result) return std::nullopt;
  failed_reads_ = result->status.done() ? 0 : failed_reads_ + 1;
  if (result->status.done()) known_ = result->stamp;
  if (!result->status.is_transient() || failed_reads_ >= kMaxFailedReads)
    replaceable_ = result->stamp;
  return result;
}

void ListFile::start_write(StoredList stored) {
  write_.start([this, stored = std::move(stored), expected = replaceable_] {
    std::string text = text_of(stored);
    written_hash_ = hash_of(text);  // before anybody can read it
    return replace_unless_changed(path_, text, expected);
  });
}

}  // namespace violetusher::net
