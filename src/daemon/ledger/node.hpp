// One router's part of the ledger, in its current role: a voter, a follower, or a router about to
// become one. Driven by frames, calls and ticks on a real or simulated clock; it has no sockets,
// threads or files of its own.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/audit/summary_replication.hpp"
#include "timed_storage.hpp"
#include "voter.hpp"

namespace violetusher::ledger {

inline constexpr std::uint64_t kFrameVersion = 1;  ///< the next version is accepted too

/// Settings of a node.
struct NodeSettings {
  std::uint64_t version = kFrameVersion;  ///< of the frames it sends
  std::string fleet;                      ///< frames of other fleets are ignored
  std::string name, zone;
  std::map<std::string, std::string> peers;  ///< names and zones of the other routers
  bool may_vote = false;                     ///< whether this router may become a voter
  std::size_t voters = 3;                    ///< target number of voters
  std::size_t followers = 64;                ///< most followers of one router
  Micros replace_after = 60'000'000;         ///< a voter silent for so long is replaced
  std::size_t summary_holders = 0;           ///< routers that hold this one's summary
  Timing timing;
};

/// A router's role in the ledger: voter or follower.
class Node {
 public:
  static constexpr Micros kCallTimeout = 950'000;  ///< then a call ends with an unknown outcome
  static constexpr std::size_t kMaxCalls = 256;

  /// What the node needs from its host.
  class Environment {
   public:
    virtual ~Environment() = default;
    virtual Micros now() = 0;  ///< monotonic
    virtual std::uint64_t random() = 0;
    virtual void send(const std::string& name, std::string frame) = 0;
    /// Sends to a client without a name; `link` is the one that on_frame() was called with.
    virtual void reply(std::uint64_t link, std::string frame) = 0;
    /// The view that this router acts on has changed.
    virtual void on_view(const View& view) = 0;
    virtual void log_event(const std::string& event, const std::string& text) = 0;
  };
  /// Receives the outcome of a call, or nothing and the reason why it is unknown.
  using Done = std::function<void(std::optional<Outcome>, const std::string& why)>;

  /// Opens the storage. `storage` and `env` must outlive the node.
  Node(Storage& storage, const NodeSettings& settings, Environment& env);
  ~Node();

  /// To be called every few tens of milliseconds.
  void tick();
  /// Processes a frame. `link`: identifies a client that is not a router, else 0.
  void on_frame(const std::string& frame, std::uint64_t link);
  /// Writes or erases one value. The caller and number of `call` are filled in.
  void call(Call call, Done done);
  /// Hands over leadership, if this node leads, before a shutdown.
  void transfer_leadership();

  const View& view() const { return view_; }
  /// The maximum age of the view; negative if unknown.
  Micros age() const;
  /// Whether the view is known to be at most a few seconds old.
  bool recent() const;
  /// The node's state, for operators and tools.
  Json status();
  /// Adds a field to status().
  void set_status_field(const std::string& key, Json value) {
    extra_status_[key] = std::move(value);
  }
  /// The Raft member at this router; null while it only follows.
  const Voter* voter() const { return voter_.get(); }
  const Meta& meta() const { return meta_; }

 private:
  struct Frame {
    std::string name, kind;
    std::uint64_t group = 0, epoch = 0, identity = 0, boot = 0, to = 0, commit_us = 0, link = 0;
    LogPosition position;
    Json body;
  };
  struct Pending {
    Call call;
    Done done;
    Micros deadline = 0, next_attempt = 0;
    std::string target;
    std::optional<Outcome> outcome;  ///< reported once the view reaches `committed_at`
    std::uint64_t committed_at = 0;
  };
  struct KnownPeer {
    LogPosition position;
    std::uint64_t boot = 0;
    Micros last_heard = 0;
    Micros commit_us = 0;  ///< mean commit time
  };
  struct Follower {
    Micros last_heard = 0;
    core::ledger::Position at;
  };
  struct Hello {
    core::ledger::Candidate candidate;
    Micros first_heard = 0, last_heard = 0;
  };

  // Opening and closing.
  void open();
  void start_with_new_identity(const std::string& why);
  bool commit_meta(std::vector<Op> extra_ops = {});
  void open_voter(Image&& image);
  void close_voter();
  // Frames.
  std::optional<Frame> read(const std::string& bytes, std::uint64_t link);
  std::string frame(const std::string& kind, const Json& body, std::uint64_t to = 0);
  void send(const std::string& name, const std::string& kind, const Json& body,
            std::uint64_t to = 0);
  void reply_to(const Frame& to, const std::string& kind, const Json& body);
  bool admit(const Frame& f);
  void on_raft(const Frame& f);
  void on_ask(const Frame& f);
  void on_mark(const Frame& f);
  void on_hello(const Frame& f);
  void on_call(const Frame& f);
  void on_answer(const Frame& f);
  void on_follow(const Frame& f);
  void on_feed(const Frame& f);
  void on_client(const Frame& f);
  void on_summary(const Frame& f);
  Json create_group();
  // Periodic work.
  void ask();
  void follow();
  void reconfigure();
  bool transfer_from_slow_disk();
  void replicate_summary();
  Json move(const Json& body);
  void process_calls();
  void send_call(std::uint64_t id, Pending& p);
  void set_outcome(std::uint64_t id, const Outcome& outcome, std::uint64_t at);
  void finish(std::uint64_t id, std::optional<Outcome> outcome, const std::string& why);
  void update_view_from_log();
  bool apply_view_update(const View::Update& update);
  void feed(const std::string& name, const core::ledger::Position& at);
  bool hears_leader() const;
  std::string leader();
  std::string zone_of(const std::string& name) const;
  std::vector<core::ledger::Member> members();
  std::string random_peer() const;

  TimedStorage storage_;
  Json extra_status_ = Json::object();
  std::uint64_t summary_number_ = 0;
  NodeSettings settings_;
  Environment& env_;
  Meta meta_;
  View view_;
  core::audit::SummaryReplication summaries_;
  std::unique_ptr<Voter> voter_;
  std::map<std::uint64_t, KnownPeer> known_peers_;  // by identity
  std::map<std::string, Follower> followers_;
  std::map<std::string, Hello> hellos_;
  std::map<std::uint64_t, Pending> pending_;
  std::deque<std::pair<Call, Done>> queue_;  // own calls waiting for the previous one
  std::uint64_t caller_, last_call_number_ = 0, own_pending_ = 0, position_at_start_ = 0;
  /// Of pending calls. Starts at a random value, so that an answer to a call from before a restart
  /// matches none.
  std::uint64_t next_id_;
  std::string leader_, parent_;
  Micros fresh_at_ = -1;  // when the view was last known to be current; -1: never
  Micros last_tick_ = 0, next_ask_ = 0, next_follow_ = 0, next_hello_ = 0, next_reconfigure_ = 0;
  std::optional<core::ledger::Move> move_;
  Micros move_deadline_ = 0, slow_disk_transfer_at_ = 0;
  Micros leading_since_ = 0, reopen_at_ = 0, parent_alive_at_ = 0;
  // `full_state_needed_`: the next follow requests the whole state
  bool open_ = false, full_state_needed_ = false;
};

}  // namespace violetusher::ledger
