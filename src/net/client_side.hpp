// The side of the router that faces clients: the listeners and the client connections. Reads
// commands and writes their responses in the order of the commands.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/guard/invariants.hpp"
#include "core/limit/buffer_budget.hpp"
#include "io.hpp"
#include "protocol/meta.hpp"

namespace violetusher::net {

using protocol::Command;
using protocol::CommandReader;
using violetusher::RequestId;

using protocol::Reply;

class ClientConnection;

/// The slot of one command in the response order of its connection. The connection owns it. It is
/// released when the response is written and when the connection is closed
/// (Handler::on_client_disconnected).
struct ResponseSlot {
  ClientConnection* connection = nullptr;
  RequestId id = 0;
  std::string text;            ///< the response, while earlier ones are incomplete
  bool done = false;           ///< the whole response is in `text` or written
  bool backpressured = false;  ///< its streamed value waits until the client has read more
  bool truncated = false;      ///< its streamed value ends here, incomplete
  bool pending = false;        ///< counted as a pending response
  bool streaming = false;      ///< buffers are set aside for its streamed value
  bool may_stream = false;     ///< of a read: its value may break off once it has begun
};

/// The right to send the one final response that a client waits for. It can be moved but not
/// copied, and responding consumes it (ClientSide::respond). An empty one has been consumed, or its
/// client has disconnected.
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
  /// The client has disconnected: no response can be sent any more.
  void abandon() { slot_ = nullptr; }

 private:
  friend class ClientSide;
  ResponseSlot* slot_ = nullptr;
};

/// Owns the listeners and all client connections.
class ClientSide {
 public:
  /// Receives the events of client connections. Calls come from within the event loop.
  class Handler {
   public:
    virtual ~Handler() = default;
    /// A request was received. The number that the handler returns comes back in on_client_eof()
    /// and on_client_disconnected(); 0 if the request is answered already.
    virtual RequestId on_command(PendingResponse response, Command&& command) = 0;
    /// Whether the command may run no more than once. Such a command is not begun while a response
    /// before it may still break off, after which it could not be answered.
    virtual bool may_have_effect(const Command& command) const = 0;
    /// A command was rejected before it became a request, as its connection is over the limit.
    virtual void on_rejected(const Command& command) = 0;
    /// The client has ended its sending side. Whether it still reads cannot be known from that.
    virtual void on_client_eof(RequestId id) = 0;
    /// The connection is closed and the slot released.
    virtual void on_client_disconnected(RequestId id) = 0;
    /// The client has read enough of the streamed value: more of it may be passed on.
    virtual void on_buffer_drained(RequestId id) = 0;
  };
  /// Limits over all client connections.
  struct Limits {
    std::size_t connections = 600;       ///< above this, commands are rejected as busy
    std::size_t spare_connections = 50;  ///< accepted above `connections`, to reject their commands
    std::size_t buffer_bytes = 8u << 20;  ///< input and output buffered for all clients together
  };

  /// `invariants` must outlive this object.
  ClientSide(Io& io, Handler& handler, Limits limits, core::InvariantChecker* invariants = nullptr);
  ~ClientSide();

  /// Listens on `address`. Returns false with the reason in `error`.
  bool listen(const sockaddr_in& address, std::string& error);
  /// Accepts connections from a listening socket that is shared with other processes.
  bool adopt(int descriptor, std::string& error);
  /// Makes these addresses, by listener name, the only ones listened on besides the main listener.
  /// The name is passed on with the commands of its connections. All or nothing: on failure returns
  /// false with the reason in `error` and changes nothing. A listener that is no longer named
  /// closes once its backlog is empty; its connections stay.
  bool update_listeners(const std::map<std::string, std::string>& addresses, std::string& error);
  /// The port that a listener got, for tests that ask for port 0; an empty name means the main
  /// listener. 0 if there is no such listener.
  std::uint16_t port(const std::string& name = {}) const;

  /// Sends the whole final response to the request with the client's own id `id`. A response of
  /// kind Bad closes the connection after it: a client that sends invalid commands could send any
  /// number of them at full speed, and a new connection for each slows it down.
  void respond(PendingResponse&& response, const std::string& id, const Reply& reply);

  /// Whether the limit on buffers admits a value of `bytes` as the response; if not, respond
  /// without it.
  bool admits_value(const PendingResponse& response, std::size_t bytes);
  /// The same for a value that is streamed. If not, respond without it.
  bool admits_stream();

  /// Sends the head of a response whose value of `length` bytes follows through stream(). The
  /// holder of `response` must finish it with end_stream() or cut it off with abort_stream().
  void begin_stream(PendingResponse& response, const std::string& id, std::size_t length);
  /// Sends more of the value. Returns false if the caller is to wait for
  /// Handler::on_buffer_drained() before it sends more.
  bool stream(PendingResponse& response, std::string_view piece);
  /// Ends the response after the whole value.
  void end_stream(PendingResponse&& response);
  /// Ends the response within the value. Nothing more is read from the client, and its connection
  /// closes in flush() once the responses up to here are written, so that the client can tell that
  /// the value is incomplete. Never calls the handler: the caller may be in the middle of a change.
  void abort_stream(PendingResponse&& response);

  /// Writes the buffered responses and parses deferred commands: at most one pipeline of each
  /// connection, so that no client keeps the others waiting. Call once per iteration of the loop,
  /// and again while dirty().
  void flush();
  bool dirty() const { return !dirty_.empty(); }
  /// Graceful shutdown: accepts the connections in the backlog, unless the socket is shared with
  /// other processes, stops listening and closes every connection as soon as it has no request.
  /// Call again while it listens(): a backlog is accepted over several iterations of the loop.
  void drain();
  /// Whether any listener is open.
  bool listens() const { return !listeners_.empty(); }
  /// The end of a graceful shutdown, with no request open: closes every connection after its
  /// buffered output, whatever its client has begun to send.
  void close_all();
  /// Whether no response is pending and all that were written have been taken by their clients.
  bool delivered() const;
  std::size_t connections() const { return connections_.size(); }
  /// Bytes buffered for all connections.
  std::size_t buffered() const { return budget_.used(); }
  /// The most bytes that were buffered at a time.
  std::size_t peak_buffered() const { return budget_.peak(); }

 private:
  friend class ClientConnection;
  /// One listening socket.
  struct Listener final : Watch::Target {
    explicit Listener(ClientSide& of) : side(of) {}
    void on_ready(unsigned) override { side.accept_pending(*this); }
    ClientSide& side;
    std::string name, address;       // both empty for the main listener
    bool shared = false;             // other processes accept from it too
    bool draining = false;           // closes once its backlog is empty
    bool drained = false;            // the backlog is empty
    int backlog_left = kMaxBacklog;  // accepted at most once it is draining
    Socket socket;
    std::unique_ptr<Watch> watch;
  };
  bool start_accepting(std::unique_ptr<Listener> listener);
  /// Accepts at most kMaxAcceptsPerEvent connections; returns true once none is waiting.
  bool accept_pending(Listener& listener);
  void pause_accepting(bool pause);
  void close_drained_listeners();
  bool evict();
  bool evict_without_command();
  bool evict_quiet(const std::function<bool(const ClientConnection&)>& may_evict);
  bool close_lingering();
  /// Whether the connection is too new to be evicted.
  bool in_grace(const ClientConnection& connection) const;
  /// Whether a connection has no request and is kept only for its grace.
  bool has_evictable_soon() const;
  /// Connections but for those that only wait for the client's FIN.
  std::size_t active() const { return connections_.size() - lingering_; }
  void sweep();
  void mark_dirty(ClientConnection& connection);
  void close(ClientConnection& connection, core::CloseReason reason);
  /// Releases the slots of a connection that closes and notifies the handler of those without a
  /// response.
  void release_slots(ClientConnection& connection);
  void respond_raw(ResponseSlot& slot, std::string_view text);
  /// The response in the slot is complete.
  void finish(ResponseSlot& slot);
  /// The slot no longer waits for a response, whether or not it got one.
  void end_pending(ResponseSlot& slot);

  /// Bytes read from one connection at a time, so that a client that sends at full speed gets no
  /// larger share of the loop than others.
  static constexpr std::size_t kReadBufferBytes = 16u << 10;
  /// The same while buffers are tight: what cannot be parsed at once is kept.
  static constexpr std::size_t kTightReadBytes = 2u << 10;
  /// Above the high watermark of unsent output the commands of a slow reader are not read any more.
  /// A streamed value is paused above the low one if it has to wait or buffers are tight.
  static constexpr std::size_t kOutputHighWatermark = 128u << 10, kOutputLowWatermark = 16u << 10;
  /// Set aside for each streamed value: what it has when it is paused, and the piece that comes.
  static constexpr std::size_t kStreamBufferBytes = kOutputLowWatermark + (16u << 10);
  /// Connections accepted per event, so that open ones are served in between.
  static constexpr int kMaxAcceptsPerEvent = 16;
  /// The most connections that the system keeps in the backlog of a listener.
  static constexpr int kMaxBacklog = 4096;

  Io& io_;
  Handler& handler_;
  Limits limits_;
  core::InvariantChecker* invariants_;
  core::BufferBudget budget_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::unique_ptr<Alarm> sweep_alarm_;
  bool accept_paused_ = false;
  bool draining_ = false, closing_all_ = false;
  std::vector<std::unique_ptr<ClientConnection>> connections_;
  std::vector<std::unique_ptr<ClientConnection>> closed_;  // freed at the end of an iteration
  std::vector<ClientConnection*> dirty_, flushing_;
  std::size_t without_command_ = 0;  // connections without one whole command so far
  std::size_t lingering_ = 0;        // connections that only wait for the client's FIN
  std::unique_ptr<char[]> read_buffer_;
  Command command_;                      // the one being read
  std::list<ResponseSlot> spare_slots_;  // reused for later responses
};

}  // namespace violetusher::net
