#include "rollout.hpp"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <random>

#include "core/ledger/rollout.hpp"
#include "fleet.hpp"
#include "net/operator_file.hpp"

namespace violetusher::kit {
namespace {

using core::ledger::Call;
using core::ledger::Json;
using core::ledger::Outcome;
using core::ledger::Plan;
using core::ledger::Proposal;

constexpr int kPass = 0, kFail = 1, kWrongInput = 2, kInconclusive = 3;

struct Options {
  std::string file, name, text;
  unsigned share = 0;
  bool yes = false;
};

int wrong(const std::string& what, int code = kWrongInput) {
  std::fprintf(stderr, "violetusher-kit: %s\n", what.c_str());
  return code;
}

/// What the majority holds.
struct Standing {
  std::optional<Plan> plan;
  std::uint64_t version = 0;  ///< 0: nothing is there
};

std::optional<Standing> standing(const Fleet& fleet, const Options& o, int& code) {
  std::string error;
  auto got =
      call_any(fleet, {Call::Kind::kGet, "file/" + o.name, "", Call::kAny, "", 0, 0, 0}, error);
  if (!got) {
    code = wrong(error, kInconclusive);
    return {};
  }
  Standing s{{}, got->version};
  if (got->version) s.plan = Plan::parse(got->text);
  if (got->version && !s.plan) {
    code = wrong("what stands under 'file/" + o.name + "' is no roll-out", kFail);
    return {};
  }
  return s;
}

/// Each router: whether it is among the first, what it acts on and what it should.
struct Seen {
  Json routers = Json::array();
  std::size_t first = 0, first_there = 0, there = 0, refused = 0, silent = 0;
};

Seen look(const Fleet& fleet, const Options& o, const std::optional<Plan>& plan) {
  std::vector<std::string> names;
  for (const auto& [name, address] : fleet.routers) names.push_back(name);
  Seen seen;
  for (const Said& said_by : ask_each(fleet)) {
    const std::string& name = said_by.router;
    bool first = plan && core::ledger::is_selected(*plan, name, names);
    std::string wants = plan ? core::ledger::label(target_text(*plan, name, names)) : "own";
    Json one{{"name", name}, {"among_first", first}, {"wants", wants}};
    Json said = said_by.status
                    ? said_by.status->value("rollouts", Json::object()).value(o.name, Json())
                    : Json();
    bool there = said.is_object() && said.value("has", "") == wants;
    if (!said_by.status) {
      one["error"] = said_by.error;
    } else if (!said.is_object()) {
      one["error"] = "its operator file has no 'rollout " + o.name + "'";
    } else {
      one["has"] = said.value("has", "");
      one["there"] = there;
      if (!there) one["why"] = said.value("why", "");
    }
    seen.silent += !said.is_object();
    seen.refused += said.is_object() && said.contains("refused");
    seen.first += first;
    seen.there += there;
    seen.first_there += first && there;
    seen.routers.push_back(std::move(one));
  }
  return seen;
}

Json told(const std::optional<Plan>& plan, const Seen& seen) {
  Json out{{"routers", seen.routers},
           {"there", seen.there},
           {"refused", seen.refused},
           {"silent", seen.silent}};
  if (!plan) return out;
  out["number"] = plan->number;
  out["share"] = plan->share;
  out["under_way"] = plan->in_progress();
  out["next"] = core::ledger::label(plan->next);
  out["last"] = core::ledger::label(plan->previous);
  return out;
}

int status(const Options& o) {
  std::string error;
  int code = kPass;
  auto fleet = fleet_of(o.file, "", error);
  if (!fleet) return wrong(error);
  auto stands = standing(*fleet, o, code);
  if (!stands) return code;
  Seen seen = look(*fleet, o, stands->plan);
  std::printf("%s\n", told(stands->plan, seen).dump(1).c_str());
  return seen.there == fleet->routers.size() ? kPass : kFail;
}

/// Writes the plan that `propose` makes of the one that stands, if that one still stands then.
int step(const Options& o, const std::function<Proposal(const std::optional<Plan>&)>& propose,
         bool only_if_there) {
  std::string error;
  int code = kPass;
  auto fleet = fleet_of(o.file, "", error);
  if (!fleet) return wrong(error);
  auto stands = standing(*fleet, o, code);
  if (!stands) return code;
  Proposal p = propose(stands->plan);
  if (!p.plan) return wrong(p.why, kFail);
  if (only_if_there && !o.yes) {
    Seen seen = look(*fleet, o, stands->plan);
    if (seen.first_there < seen.first || seen.refused > 0) {
      std::printf("%s\n", told(stands->plan, seen).dump(1).c_str());
      return wrong("of the " + std::to_string(seen.first) + " first only " +
                       std::to_string(seen.first_there) + " act on it, and " +
                       std::to_string(seen.refused) +
                       " refuse a text; --yes goes on, 'rollout back' takes it back",
                   kFail);
    }
  }
  std::random_device random;
  p.plan->nonce = (std::uint64_t{random()} << 32) | random();
  auto put = call_any(*fleet,
                      {Call::Kind::kPut, "file/" + o.name, p.plan->bytes(),
                       static_cast<std::int64_t>(stands->version), "violetusher-kit", 0, 0, 0},
                      error);
  if (!put) return wrong(error, kInconclusive);
  if (put->status == Outcome::Status::kConflict)
    return wrong("somebody else has changed this roll-out in this moment", kFail);
  if (put->status != Outcome::Status::kDone)
    return wrong(std::string(core::ledger::name_of(put->status)), kFail);
  std::printf("%s\n", Json{{"number", p.plan->number},
                           {"share", p.plan->share},
                           {"next", core::ledger::label(p.plan->next)},
                           {"last", core::ledger::label(p.plan->previous)},
                           {"version", put->version}}
                          .dump(1)
                          .c_str());
  return kPass;
}

int begin(const Options& o) {
  std::string text, error = net::read_regular_file(o.text, text);
  if (!error.empty()) return wrong(o.text + ": " + error);
  return step(
      o, [&](const auto& now) { return core::ledger::start_rollout(now, text, o.share); }, false);
}

}  // namespace

void add_rollout(CLI::App& app, int& code) {
  CLI::App* all = app.add_subcommand(
      "rollout",
      "Brings a text, such as an operator file's, to a part of the routers, then to all");
  all->require_subcommand(1);
  auto o = std::make_shared<Options>();
  auto sub = [&](const char* name, const char* about, std::function<int()> run) {
    CLI::App* s = all->add_subcommand(name, about);
    s->add_option("file", o->file, "an operator file that has the fleet's ledger and all peers")
        ->required();
    s->add_option("name", o->name, "of the 'rollout' section, such as operator")->required();
    s->callback([run = std::move(run), &code] { code = run(); });
    return s;
  };
  auto share = [&](CLI::App* s) {
    s->add_option("--share", o->share, "per cent of the routers")
        ->required()
        ->check(CLI::Range(1, 100));
  };
  CLI::App* begins =
      sub("begin", "Brings a new text to the first routers", [o] { return begin(*o); });
  begins->add_option("text", o->text, "the file with the new text")->required();
  share(begins);
  CLI::App* widens = sub("widen", "To more routers, once the first act on it; 100: to all", [o] {
    return step(
        *o, [&](const auto& now) { return core::ledger::widen(now, o->share); }, true);
  });
  share(widens);
  widens->add_flag("--yes", o->yes, "also where some of the first do not act on it");
  sub("back", "All routers go back to the text before", [o] {
    return step(
        *o, [](const auto& now) { return core::ledger::roll_back(now); }, false);
  });
  sub("status", "Which router acts on which text; exit 0 where each is where it should be",
      [o] { return status(*o); });
}

}  // namespace violetusher::kit
