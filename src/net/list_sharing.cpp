#include "list_sharing.hpp"

#include <cerrno>

#include "core/mutants.hpp"

namespace violetusher::net {
namespace {

using core::Mutant;
using core::mutant;
using core::membership::ListOrder;

constexpr Micros kPollInterval = 50 * kMillisecond;
constexpr Micros kBusyPollInterval = 5 * kMillisecond;  // while a read or write is in progress
constexpr Micros kRetryDelay = 50 * kMillisecond;       // after a failed write
// The file is written again after this, so that it tells how recently the list was confirmed.
constexpr Micros kRefreshInterval = 10 * kSecond;

}  // namespace

ListSharing::ListSharing(Io& io, std::string path, Handler& handler, Log& log)
    : io_(io),
      handler_(handler),
      log_(log),
      file_(std::move(path)),
      alarm_(io.alarm([this] { tick(); })) {}

bool ListSharing::enabled() const {
  return !file_.path().empty() && !mutant(Mutant::kListNotShared);
}

void ListSharing::start() {
  if (!enabled()) return;
  start_read();
  file_.wait_for_read();
  tick();
}

void ListSharing::publish() {
  if (!enabled()) return;
  if (published_ && mutant(Mutant::kListSharedOnce)) return;
  pending_ = true;
  tick();
}

void ListSharing::tick() {
  finish_write();
  finish_read();
  start_read();
  if (io_.uptime() - stored_at_ >= kRefreshInterval) pending_ = true;
  if (pending_ && !busy() && io_.uptime() >= next_write_at_) start_write();
  alarm_->set(busy() ? kBusyPollInterval : kPollInterval);
  log_errors();
}

void ListSharing::finish_write() {
  std::optional<CallStatus> status = file_.take_write_result();
  if (!status) return;
  if (status->done()) {
    published_ = true;
    write_error_.clear();
    return;
  }
  pending_ = true;
  // The other process has written meanwhile; its list is read first.
  if (status->result == CallResult::kWouldBlock) return;
  write_error_ = "can't be written: " + status->reason();
  next_write_at_ = io_.uptime() + kRetryDelay;
}

void ListSharing::start_read() {
  CallStatus status = file_.start_read_if_replaced();
  bool missing = status.error == ENOENT;
  if (missing) pending_ = true;
  bool failed = !status.done() && !missing;
  lookup_error_ = failed ? "can't be looked up: " + status.reason() : "";
}

void ListSharing::finish_read() {
  std::optional<ListFile::ReadResult> result = file_.take_read_result();
  if (!result) return;
  read_error_.clear();
  if (!result->status.done()) read_error_ = "can't be read: " + result->status.reason();
  if (!result->invalid_reason.empty()) {
    read_error_ = "is not valid and is replaced: " + result->invalid_reason;
    pending_ = true;
  }
  if (result->stored) compare(std::move(*result->stored));
}

void ListSharing::compare(StoredList&& stored) {
  // Times of another boot mean nothing here.
  if (stored.stored_at > io_.uptime()) {
    pending_ = true;
    return;
  }
  stored_at_ = stored.stored_at;
  ListOrder order = order_lists(stored.identity, handler_.list_identity());
  if (order == ListOrder::kUnrelated) return;
  has_heard_ = true;
  if (order == ListOrder::kOlder)
    pending_ = true;
  else
    handler_.on_shared_list(std::move(stored), order);
}

void ListSharing::start_write() {
  std::optional<StoredList> stored = handler_.list_to_share();
  // A list that changes from here on is written next.
  pending_ = false;
  if (!stored) return;
  stored->stored_at = io_.uptime();
  stored_at_ = stored->stored_at;
  file_.start_write(std::move(*stored));
}

/// Logs each distinct error once, until it changes or clears.
void ListSharing::log_errors() {
  std::string error;
  for (const std::string* each : {&write_error_, &read_error_, &lookup_error_})
    if (error.empty()) error = *each;
  if (error == logged_error_) return;
  logged_error_ = error;
  std::string path = file_.path();
  if (error.empty())
    log_.write(io_.now(), Log::Level::kInfo, "list-shared",
               "shared list: " + path + " can be read and written",
               {{"path", std::string_view(path)}});
  else
    log_.write(io_.now(), Log::Level::kWarn, "list-not-shared",
               "shared list: " + path + " " + error + "; retrying",
               {{"path", std::string_view(path)}, {"reason", std::string_view(error)}});
}

}  // namespace violetusher::net
