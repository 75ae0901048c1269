#include "rescue.hpp"

#include <algorithm>

#include "core/ledger/state.hpp"
#include "raft_port.hpp"
#include "voter.hpp"

namespace violetusher::ledger {
namespace {

using core::ledger::State;

/// Replays the whole log of an image into `state`; `end` is the position that it reaches.
bool replay(const Image& image, State& state, LogPosition& end) {
  std::uint64_t from = 0;
  if (image.snapshot) {
    if (!state.restore(image.snapshot->bytes)) return false;
    from = image.snapshot->index;
    end = {image.term, image.snapshot->term, from};
  }
  state.set_epoch(std::max(state.position().epoch, image.meta.epoch));
  for (const LogEntry& e : image.log) {
    if (e.index <= from) continue;
    if (e.type == RAFT_COMMAND) state.apply(e.bytes);
    end = {image.term, e.term, e.index};
  }
  return true;
}

}  // namespace

std::optional<Rescue> plan_rescue(const Image& image, const std::string& name,
                                  std::uint64_t identity, const std::string& fingerprint,
                                  std::string& error) {
  State state;
  LogPosition end;
  if (!image.meta.voter || image.meta.group == 0) {
    error = "these are not the files of a voter";
    return {};
  }
  if (!replay(image, state, end)) {
    error = "its snapshot can't be read";
    return {};
  }
  // The view may be newer than the voter's own log, if it was fed by others.
  State shown;
  bool newer =
      !image.view.empty() && shown.restore(image.view) && state.position().before(shown.position());
  if (newer) state = shown;
  Rescue rescue;
  Meta meta = image.meta;
  meta.identity = identity;
  meta.epoch = std::max(image.meta.epoch, state.position().epoch) + 1;
  meta.fingerprint = fingerprint;
  state.set_epoch(meta.epoch);
  Snapshot snapshot{end.last_index + 1, image.term + 1, end.last_index + 1,
                    write_members({{identity, raft_address(name, identity), RAFT_VOTER}}),
                    state.snapshot()};
  rescue.ops = {Op::with_number(Op::Kind::kTruncate, 0), Op::put(snapshot),
                Op::with_number(Op::Kind::kTerm, image.term + 1), Op::of(meta),
                Op::view(state.snapshot())};
  rescue.report = {
      {"epoch", meta.epoch},
      {"keeps", {{"values", state.values().size()}, {"position", state.position().at}}},
      {"from", newer ? "its last view" : "its own log"},
      {"may_be_lost", "calls committed after position " + std::to_string(state.position().at) +
                          " that had not reached this disk"}};
  return rescue;
}

core::ledger::Json describe(const Image& image) {
  State state, shown;
  LogPosition end{image.term, 0, 0};
  bool whole = replay(image, state, end);
  core::ledger::Json members = core::ledger::Json::array();
  for (const RaftMember& m : members_of(image).list)
    members.push_back({{"name", name_in(m.address)},
                       {"identity", std::to_string(m.identity)},
                       {"votes", m.role == RAFT_VOTER}});
  core::ledger::Json out{
      {"identity", std::to_string(image.meta.identity)},
      {"group", std::to_string(image.meta.group)},
      {"epoch", image.meta.epoch},
      {"starts", image.meta.boot},
      {"keeper", image.meta.voter},
      {"term", image.term},
      {"log",
       {{"entries", image.log.size()}, {"last", end.last_index}, {"last_term", end.last_term}}},
      {"members", members}};
  if (image.meta.voter && whole)
    out["state"] = {{"position", state.position().at}, {"values", state.values().size()}};
  if (!image.view.empty() && shown.restore(image.view))
    out["shown"] = {{"position", shown.position().at},
                    {"epoch", shown.position().epoch},
                    {"values", shown.values().size()}};
  return out;
}

}  // namespace violetusher::ledger
