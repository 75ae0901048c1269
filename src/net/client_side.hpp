// The listener and the client connections: commands in, answers out in the order of the commands.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/guard/invariants.hpp"
#include "io.hpp"
#include "protocol/meta.hpp"

namespace violetusher::net {

using protocol::Command;
using protocol::CommandReader;
using violetusher::RequestId;

using protocol::Reply;

class ClientConnection;

/// The place of one command among the answers of its connection. The connection owns it; it is
/// gone with the connection (Handler::on_gone) and once it is answered.
struct ResponseSlot {
  ClientConnection* connection = nullptr;
  RequestId id = 0;
  std::string text;            ///< the answer, while those before it are not whole
  bool done = false;           ///< the whole answer is in `text` or written
  bool backpressured = false;  ///< its long value waits until the client has read some
};

/// The one final answer that a client waits for. Whoever holds it may give it, once: giving takes
/// it away (ClientSide::answer), and it can't be copied. One that is empty was given, or nobody is
/// left to get it.
class PendingResponse {
 public:
  PendingResponse() = default;
  explicit PendingResponse(ResponseSlot& slot) : slot_(&slot) {}
  PendingResponse(PendingResponse&& other) noexcept : slot_(std::exchange(other.slot_, nullptr)) {}
  PendingResponse& operator=(PendingResponse&& other) noexcept {
    slot_ = std::exchange(other.slot_, nullptr);
    return *this;
  }
  explicit operator bool() const { return slot_ != nullptr; }
  /// The client is gone.
  void abandon() { slot_ = nullptr; }

 private:
  friend class ClientSide;
  ResponseSlot* slot_ = nullptr;
};

class ClientSide {
 public:
  /// Told of what clients do. Calls come from within the event loop.
  class Handler {
   public:
    virtual ~Handler() = default;
    /// A request was taken. The number that the handler gives it comes back with on_client_eof()
    /// and on_gone(); 0 where it is answered already.
    virtual RequestId on_command(PendingResponse response, Command&& command) = 0;
    /// A request was refused before it was taken, as its connection is one too many.
    virtual void on_rejected(const Command& command) = 0;
    /// The client sends nothing more; whether it still reads can't be told from that.
    virtual void on_client_eof(RequestId id) = 0;
    /// The connection is closed and the slot with it.
    virtual void on_client_disconnected(RequestId id) = 0;
    /// More of the request's long value may come.
    virtual void on_buffer_drained(RequestId id) = 0;
  };
  struct Limits {
    std::size_t connections = 600;        ///< beyond, commands are refused as busy
    std::size_t spare_connections = 50;   ///< so many beyond are accepted for that
    std::size_t buffer_bytes = 8u << 20;  ///< held for all clients together, in and out
  };

  /// `guard` outlives it.
  ClientSide(Io& io, Handler& handler, Limits limits, core::InvariantChecker* invariants = nullptr);
  ~ClientSide();

  /// Listens on `address`; false with the reason in `error`.
  bool listen(const sockaddr_in& address, std::string& error);
  /// Takes connections from a listening socket that other processes take them from too.
  bool adopt(int descriptor, std::string& error);
  /// Listens besides on just these addresses, by name; the name comes with the commands of its
  /// connections. All or nothing: false with the reason in `error`, and nothing has changed. One
  /// that goes is emptied first, and its connections go on.
  bool update_listeners(const std::map<std::string, std::string>& addresses, std::string& error);
  /// The port that a listener got, the platform's where no name is given; for tests that ask for
  /// port 0. 0 where there is none.
  std::uint16_t port(const std::string& name = {}) const;

  /// Gives the whole final answer to the request whose client calls it `id`. One that says Bad
  /// closes the connection after it: who sends what can't be used may send any number at full
  /// speed, and a new connection each time slows it down.
  void respond(PendingResponse&& response, const std::string& id, const Reply& reply);

  /// Gives the head of an answer whose value of `length` bytes follows by pass(). Whoever holds
  /// `owed` owes the rest, and gives it with end(), or cuts it off with abort().
  void begin_stream(PendingResponse& response, const std::string& id, std::size_t length);
  /// Gives more of the value. False where no more should come until Handler::on_buffer_drained().
  bool stream(PendingResponse& response, std::string_view piece);
  void end_stream(PendingResponse&& response);
  /// Closes the connection, so that the client can tell that the value is not whole.
  void abort_stream(PendingResponse&& response);

  /// Writes what answer() and the others have left. Call once an iteration of the loop.
  void flush();
  /// True when there is something to flush.
  bool dirty() const { return !dirty_.empty(); }
  /// Planned end: takes the connections that wait in the backlog, unless those are for others as
  /// well, stops listening and closes every connection as soon as it is between requests. Call
  /// again while it listens().
  void drain();
  bool listens() const { return !listeners_.empty(); }
  /// The last moment of a planned end, with no request open: closes every connection after what is
  /// written to it, whatever its client has begun to send.
  void close_all();
  std::size_t connections() const { return connections_.size(); }
  std::size_t buffered() const { return buffered_; }

 private:
  friend class ClientConnection;
  struct Listener final : Watch::Target {
    explicit Listener(ClientSide& of) : side(of) {}
    void on_ready(unsigned) override { side.accept_pending(*this, kMaxAcceptsPerEvent); }
    ClientSide& side;
    std::string name, address;  // both empty: the platform's
    bool shared = false;        // others accept from it too
    bool draining = false;      // goes once all that waits there is taken
    bool drained = false;       // which it is
    Socket socket;
    std::unique_ptr<Watch> watch;
  };
  bool start_accepting(std::unique_ptr<Listener> listener);
  /// Takes connections that wait, `most` of them; true once none waits.
  bool accept_pending(Listener& listener, int max_accepts);
  void pause_accepting(bool pause);
  void close_drained_listeners();
  bool evict();
  bool evict_without_command();
  bool evict_idle(const std::function<bool(const ClientConnection&)>& may_evict);
  void enforce_buffer_limit();
  void sweep();
  void mark_dirty(ClientConnection& connection);
  void close(ClientConnection& connection, core::CloseReason reason);
  void respond_raw(ResponseSlot& slot, std::string_view text);

  /// Read at once from one connection, so that a client that sends at full speed has no larger part
  /// of the loop than others.
  static constexpr std::size_t kReadBufferBytes = 16u << 10;
  /// Answer bytes that may wait for a slow reader before its commands are read no more.
  static constexpr std::size_t kOutputHighWatermark = 128u << 10, kOutputLowWatermark = 16u << 10;
  /// Accepted in one go, so that those that are open are served in between.
  static constexpr int kMaxAcceptsPerEvent = 16;

  Io& io_;
  Handler& handler_;
  Limits limits_;
  core::InvariantChecker* invariants_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::unique_ptr<Alarm> sweep_alarm_;
  bool accept_paused_ = false;
  bool draining_ = false, closing_all_ = false;
  std::vector<std::unique_ptr<ClientConnection>> connections_;
  std::vector<std::unique_ptr<ClientConnection>> closed_;  // freed at the end of an iteration
  std::vector<ClientConnection*> dirty_;
  std::size_t without_command_ = 0;  // connections on which no whole command has come
  std::size_t buffered_ = 0;         // bytes held for all connections
  std::unique_ptr<char[]> read_buffer_;
  Command command_;                      // the one being read
  std::list<ResponseSlot> spare_slots_;  // of answers that are written
};

}  // namespace violetusher::net
