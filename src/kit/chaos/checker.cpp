// The search is Wing and Gong's, with Lowe's memory of what was tried (G. Lowe, "Testing for
// linearizability", 2017), on each name alone, as linearizability allows.
#include <algorithm>
#include <limits>
#include <set>
#include <unordered_set>

#include "history.hpp"
#include "kit/common/random.hpp"

namespace violetusher::chaos {
namespace {

constexpr Micros kNever = std::numeric_limits<Micros>::max();

/// The operations of one name. A state is the text that stands, by number; 0 is none.
class Search {
 public:
  Search(std::vector<const Operation*> ops, std::size_t& steps, std::size_t limit)
      : ops_(std::move(ops)), steps_(steps), limit_(limit), done_(ops_.size(), false) {
    std::sort(ops_.begin(), ops_.end(),
              [](const Operation* a, const Operation* b) { return a->asked < b->asked; });
    for (const Operation* op : ops_) {
      must_ += op->end != Operation::End::kUnknown;
      if (op->end != Operation::End::kDone || op->version == 0) continue;
      // Which text a version stands for: told by its writer and by those who read it.
      int text = number(op->text);
      auto [it, is_new] = by_version_.emplace(op->version, text);
      if (!is_new && it->second != text) twice_ = op;
      with_version_.insert(text);
    }
    for (const Operation* op : ops_)
      if (op->kind == Operation::Kind::kPut) number(op->text);
  }

  /// Why it can't be; empty where it can.
  std::string judge(bool& judged) {
    if (twice_)
      return "version " + std::to_string(twice_->version) + " of " + twice_->name +
             " stands for two texts";
    bool found = search(0);
    if (steps_ > limit_) {
      judged = false;
      return "";
    }
    if (found) return "";
    std::string why = "no order explains what was answered about " + ops_[0]->name;
    if (stuck_) why += "; the furthest one stops before " + describe(*stuck_);
    return why;
  }

 private:
  int number(const std::string& text) {
    return texts_.emplace(text, static_cast<int>(texts_.size()) + 1).first->second;
  }

  static std::string describe(const Operation& op) {
    constexpr const char* kKinds[] = {"get", "put", "erase"};
    constexpr const char* kEnds[] = {"done", "conflict", "refused", "unknown"};
    return "client " + std::to_string(op.client) + "'s " + kKinds[static_cast<int>(op.kind)] +
           " '" + op.text + "' at " + std::to_string(op.asked / 1000) + " ms (" +
           kEnds[static_cast<int>(op.end)] + ", version " + std::to_string(op.version) + ")";
  }

  /// Whether a version may be the one of the text that stands; `sure` turns false where another
  /// one may be too: of a writer that never heard its version, and that nobody has read.
  bool stands(std::uint64_t version, int state, bool& sure) const {
    if (version == 0) return state == 0;
    auto it = by_version_.find(version);
    if (it != by_version_.end()) return it->second == state;
    if (state == 0 || with_version_.count(state)) return false;
    sure = false;
    return true;
  }

  /// Whether the operation may come next; then `state` becomes what stands after it.
  bool step(const Operation& op, int& state) const {
    using Kind = Operation::Kind;
    using End = Operation::End;
    if (op.end == End::kRefused) return true;
    bool sure = true, read_sure = true;
    bool expected =
        op.expect == Operation::kAny || stands(static_cast<std::uint64_t>(op.expect), state, sure);
    if (op.end == End::kConflict)
      return (!expected || !sure) && stands(op.version, state, read_sure);
    if (op.kind == Kind::kGet) {
      if (op.end == End::kUnknown) return true;
      int read = op.version == 0 ? 0 : texts_.at(op.text);
      return read == state;
    }
    if (!expected) return op.end == End::kUnknown;  // it did nothing
    state = op.kind == Kind::kErase ? 0 : texts_.at(op.text);
    return true;
  }

  bool search(int state) {
    if (must_done_ == must_) return true;
    if (++steps_ > limit_) return false;
    std::uint64_t key =
        kit::hash_of({reinterpret_cast<const char*>(&state), sizeof state}, kit::hash_of(bits()));
    if (!seen_.insert(key).second) return false;
    // Whatever comes next was asked before any of the rest was answered.
    Micros first_answer = kNever;
    for (std::size_t i = first_; i < ops_.size(); ++i)
      if (!done_[i]) first_answer = std::min(first_answer, answered(*ops_[i]));
    for (std::size_t i = first_; i < ops_.size(); ++i) {
      const Operation& op = *ops_[i];
      if (op.asked > first_answer) break;
      if (done_[i]) continue;
      int next = state;
      bool possible = step(op, next);
      if (op.end == Operation::End::kUnknown && next == state) continue;  // no use in it now
      if (!possible) {
        if (must_done_ >= best_ && op.end != Operation::End::kUnknown)
          stuck_ = &op, best_ = must_done_;
        continue;
      }
      std::size_t first = first_;
      done_[i] = true;
      must_done_ += op.end != Operation::End::kUnknown;
      while (first_ < ops_.size() && done_[first_]) ++first_;
      if (search(next)) return true;
      first_ = first;
      done_[i] = false;
      must_done_ -= op.end != Operation::End::kUnknown;
      if (steps_ > limit_) return false;
    }
    return false;
  }

  static Micros answered(const Operation& op) {
    return op.end == Operation::End::kUnknown ? kNever : op.answered;
  }

  std::string bits() const {
    std::string out = std::to_string(first_);
    for (std::size_t i = first_; i < done_.size(); ++i) out.push_back(done_[i] ? '1' : '0');
    return out;
  }

  std::vector<const Operation*> ops_;
  std::size_t& steps_;
  std::size_t limit_, must_ = 0, must_done_ = 0, first_ = 0, best_ = 0;
  std::vector<bool> done_;
  std::map<std::string, int> texts_;
  std::map<std::uint64_t, int> by_version_;
  std::set<int> with_version_;  // texts whose version somebody was told
  std::unordered_set<std::uint64_t> seen_;
  const Operation* twice_ = nullptr;
  const Operation* stuck_ = nullptr;
};

}  // namespace

std::vector<Finding> check_order(const History& history, bool& judged, std::size_t limit) {
  std::map<std::string, std::vector<const Operation*>> by_name;
  for (const Operation& op : history.operations) by_name[op.name].push_back(&op);
  std::vector<Finding> findings;
  judged = true;
  for (auto& [name, ops] : by_name) {
    std::size_t steps = 0;
    std::string why = Search(ops, steps, limit).judge(judged);
    if (!why.empty()) findings.push_back({"order", why});
  }
  return findings;
}

std::vector<Finding> check_sights(const History& history) {
  std::vector<Finding> findings;
  std::map<std::pair<std::string, int>, const Sight*> last;
  std::map<std::pair<std::uint64_t, std::uint64_t>, const Sight*> first;
  for (const Sight& s : history.sights) {
    const Sight*& before = last[{s.router, s.disk}];
    if (before && std::pair(s.epoch, s.position) < std::pair(before->epoch, before->position))
      findings.push_back({"back", s.router + " went from " + std::to_string(before->epoch) + "/" +
                                      std::to_string(before->position) + " back to " +
                                      std::to_string(s.epoch) + "/" + std::to_string(s.position) +
                                      " at " + std::to_string(s.at / 1000) + " ms"});
    before = &s;
    const Sight*& other = first[{s.epoch, s.position}];
    if (other && other->digest != s.digest)
      findings.push_back({"split", s.router + " and " + other->router + " are both at " +
                                       std::to_string(s.epoch) + "/" + std::to_string(s.position) +
                                       " with another history"});
    if (!other) other = &s;
  }
  return findings;
}

namespace {

bool may_hold(const Operation& op) {
  return op.end == Operation::End::kDone || op.end == Operation::End::kUnknown;
}

std::size_t part(unsigned share, std::size_t routers) { return (routers * share + 99) / 100; }

/// No new text while the one before is on its way. Where a call's fate is not known, what came
/// right after it says nothing.
void check_one_at_a_time(const History& history, std::vector<Finding>& findings) {
  std::map<std::uint64_t, const Operation*> steps;
  std::vector<const Operation*> unknown;
  for (const Operation& op : history.operations) {
    if (!op.roll || op.kind != Operation::Kind::kPut) continue;
    if (op.end == Operation::End::kDone) steps[op.version] = &op;
    if (op.end == Operation::End::kUnknown) unknown.push_back(&op);
  }
  const Operation* before = nullptr;
  for (const auto& [version, op] : steps) {
    bool clear = std::none_of(unknown.begin(), unknown.end(), [&](const Operation* u) {
      return before && u->asked < op->answered;
    });
    if (before && clear && before->roll->share < 100 && op->roll->next != before->roll->next &&
        op->roll->next != before->roll->last)
      findings.push_back({"one-at-a-time", "a roll-out began at version " +
                                               std::to_string(version) + " while the one of " +
                                               std::to_string(before->version) + " was under way"});
    before = op;
  }
}

}  // namespace

std::vector<Finding> check_rollouts(const History& history, std::size_t routers, bool settled) {
  std::vector<Finding> findings;
  std::map<std::string, std::string> acts;  // by router, where it is not its own
  for (const Take& take : history.takes) {
    acts[take.router] = take.text;
    if (take.text == kOwn) continue;
    std::string who =
        take.router + " acts on '" + take.text + "' at " + std::to_string(take.at / 1000) + " ms";
    if (take.text.rfind(kBad, 0) == 0) findings.push_back({"bad-text", who});
    std::size_t allowed = 0;
    for (const Operation& op : history.operations) {
      if (!op.roll || op.kind != Operation::Kind::kPut || !may_hold(op) || op.asked > take.at)
        continue;
      if (op.roll->next == take.text) allowed = std::max(allowed, part(op.roll->share, routers));
    }
    auto have = static_cast<std::size_t>(std::count_if(
        acts.begin(), acts.end(), [&](const auto& a) { return a.second == take.text; }));
    if (have > allowed)
      findings.push_back({"share", who + ", as one of " + std::to_string(have) + "; " +
                                       std::to_string(allowed) + " were asked for"});
  }
  check_one_at_a_time(history, findings);
  const Operation* last = nullptr;
  for (const Operation& op : history.operations)
    if (op.roll && op.kind == Operation::Kind::kGet && op.end == Operation::End::kDone) last = &op;
  if (!settled || !last || last->roll->next.rfind(kBad, 0) == 0 ||
      last->roll->last.rfind(kBad, 0) == 0)
    return findings;
  std::size_t next = 0, before = 0;
  for (const auto& [router, text] : acts) {
    next += text == last->roll->next;
    before += text == last->roll->last;
  }
  if (last->roll->next == kOwn) next += routers - acts.size();
  if (last->roll->last == kOwn) before += routers - acts.size();
  std::size_t wanted = part(last->roll->share, routers);
  if (last->roll->next == last->roll->last) wanted = routers;
  if (next != wanted || (wanted < routers && before != routers - wanted))
    findings.push_back({"end", "in the quiet at the end " + std::to_string(next) + " act on '" +
                                   last->roll->next + "' and " + std::to_string(before) + " on '" +
                                   last->roll->last + "' instead of " + std::to_string(wanted) +
                                   " of " + std::to_string(routers)});
  return findings;
}

}  // namespace violetusher::chaos
