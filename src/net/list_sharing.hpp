// Keeps the host list of this process and that of the router's other process the same, through a
// file in their common directory, while one replaces the other; and starts a process with the list
// that the one before it had.
#pragma once

#include <memory>
#include <string>

#include "list_file.hpp"
#include "log.hpp"

namespace violetusher::net {

/// Reads and writes the shared list.
class ListSharing {
 public:
  /// The owner of this process's list.
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual core::membership::ListIdentity list_identity() const = 0;
    /// The list in use, to be shared; nothing while it is only that of the configuration.
    virtual std::optional<StoredList> list_to_share() const = 0;
    /// A list of another process that is not older than the one in use; see ListOrder.
    virtual void on_shared_list(StoredList&& stored, core::membership::ListOrder order) = 0;
  };

  /// `path`: the shared file; with an empty path nothing is shared.
  ListSharing(Io& io, std::string path, Handler& handler, Log& log);

  /// Takes over a newer list, if there is one, and goes on looking for one several times a second.
  void start();
  /// The list in use has changed, or has been confirmed: shares it.
  void publish();
  /// Whether another process has shared a list of the same discovery service.
  bool has_heard() const { return has_heard_; }
  /// Whether a change is still to be shared. It is retried until it is.
  bool pending() const { return pending_ || file_.writing(); }

 private:
  bool enabled() const;
  void tick();
  void start_read();
  void finish_read();
  void compare(StoredList&& stored);
  void start_write();
  void finish_write();
  bool busy() const { return file_.reading() || file_.writing(); }
  void log_errors();

  Io& io_;
  Handler& handler_;
  Log& log_;
  ListFile file_;
  std::unique_ptr<Alarm> alarm_;
  Micros stored_at_ = 0;  // when the file that was last read or written was made
  Micros next_write_at_ = 0;
  bool pending_ = false, published_ = false, has_heard_ = false;
  std::string lookup_error_, read_error_, write_error_, logged_error_;
};

}  // namespace violetusher::net
