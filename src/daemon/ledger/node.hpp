// One router's part of the ledger, whatever it is at the moment: a keeper, one that follows, or one
// that is about to be either. Driven from outside by frames, calls and ticks on a clock that may be
// the machine's or a test's; no sockets, threads or files of its own.
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

inline constexpr std::uint64_t kFrameVersion = 1;  ///< one newer is heard too

struct NodeSettings {
  std::uint64_t version = kFrameVersion;  ///< that it speaks
  std::string fleet;                      ///< frames of another one are not heard
  std::string name, zone;
  std::map<std::string, std::string> peers;  ///< the other routers' names and halls
  bool may_vote = false;                     ///< whether this one may be made a keeper
  std::size_t voters = 3;                    ///< how many are to vote
  std::size_t followers = 64;                ///< that one router feeds
  Micros replace_after = 60'000'000;         ///< a keeper that is gone for so long gives way
  std::size_t summary_holders = 0;           ///< others that hold what status() last said
  Timing timing;
};

class Node {
 public:
  static constexpr Micros kCallTimeout = 950'000;  ///< then a call is told that nothing is known
  static constexpr std::size_t kMaxCalls = 256;

  class Environment {
   public:
    virtual ~Environment() = default;
    virtual Micros now() = 0;  ///< monotonic
    virtual std::uint64_t random() = 0;
    virtual void send(const std::string& name, std::string frame) = 0;
    /// To whoever has no name; `link` is the one that on_frame() was called with.
    virtual void reply(std::uint64_t link, std::string frame) = 0;
    /// What this router is to act on has changed.
    virtual void on_view(const View& view) = 0;
    virtual void log_event(const std::string& event, const std::string& text) = 0;
  };
  using Done = std::function<void(std::optional<Outcome>, const std::string& why)>;

  /// All outlives it. Opens what the storage holds.
  Node(Storage& storage, const NodeSettings& settings, Environment& env);
  ~Node();

  void tick();
  /// `link`: of a caller that is no router, else 0.
  void on_frame(const std::string& frame, std::uint64_t link);
  /// Puts or takes away one value. `call`'s caller and number are filled in.
  void call(Call call, Done done);
  /// Ends: hands leading over where it can.
  void transfer_leadership();

  const View& view() const { return view_; }
  /// How old the view may be; negative where that is not known.
  Micros age() const;
  /// Whether the view is known to be at most a few seconds old.
  bool recent() const;
  Json status();
  /// More to say in status(), under `key`.
  void set_status_field(const std::string& key, Json value) {
    extra_status_[key] = std::move(value);
  }
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
    std::optional<Outcome> outcome;  ///< known, and told once the view is at `committed_at`
    std::uint64_t committed_at = 0;
  };
  struct KnownPeer {
    LogPosition position;
    std::uint64_t boot = 0;
    Micros last_heard = 0;
    Micros commit_us = 0;  ///< mean of its commits
  };
  struct Follower {
    Micros last_heard = 0;
    core::ledger::Position at;
  };
  struct Hello {
    core::ledger::Candidate candidate;
    Micros first_heard = 0, last_heard = 0;
  };

  // Opening and giving up.
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
  // Time.
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
  std::map<std::uint64_t, KnownPeer> known_peers_;  // identities heard of
  std::map<std::string, Follower> followers_;
  std::map<std::string, Hello> hellos_;
  std::map<std::uint64_t, Pending> pending_;
  std::deque<std::pair<Call, Done>> queue_;  // own calls that wait for the one before
  std::uint64_t caller_, last_call_number_ = 0, own_pending_ = 0, position_at_start_ = 0;
  /// Of calls on their way; from another place at each start, so that an answer to a call of the
  /// life before is nobody's.
  std::uint64_t next_id_;
  std::string leader_, parent_;
  Micros fresh_at_ = -1;  // when the view was known to be the newest; -1 = never
  Micros last_tick_ = 0, next_ask_ = 0, next_follow_ = 0, next_hello_ = 0, next_reconfigure_ = 0;
  std::optional<core::ledger::Move> move_;
  Micros move_deadline_ = 0, slow_disk_transfer_at_ = 0;
  Micros leading_since_ = 0, reopen_at_ = 0, parent_alive_at_ = 0;
  bool open_ = false, full_state_needed_ =
                          false;  // `full_state_needed_`: the next follow asks for all of the state
};

}  // namespace violetusher::ledger
