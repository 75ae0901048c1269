#include "command.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <random>
#include <thread>

#include "daemon/ledger/rescue.hpp"
#include "daemon/ledger/sqlite_storage.hpp"
#include "fleet.hpp"

namespace violetusher::kit {
namespace {

using core::ledger::Call;
using core::ledger::Json;
using core::ledger::Outcome;

constexpr int kPass = 0, kFail = 1, kWrongInput = 2, kInconclusive = 3;
constexpr int kMoveSeconds = 25;

struct Options {
  std::string file, at, name, text, folder, from, to, prefix;
  std::int64_t expect = Call::kAny;
  std::vector<std::string> names;
  double for_s = 10;
  bool yes = false;
};

int wrong(const std::string& what, int code = kWrongInput) {
  std::fprintf(stderr, "violetusher-kit: %s\n", what.c_str());
  return code;
}

void print(const Json& value) { std::printf("%s\n", value.dump(1).c_str()); }

/// Nothing, with the reason told, where there is none.
std::optional<Fleet> fleet_of(const Options& o) {
  std::string error;
  auto fleet = kit::fleet_of(o.file, o.at, error);
  if (!fleet) wrong(error);
  return fleet;
}

/// Asks one after the other until one answers.
std::optional<ledger::ClientAnswer> ask(const Fleet& fleet, const std::string& kind,
                                        const Json& body) {
  std::string error;
  auto answer = ask_any(fleet, kind, body, error);
  if (!answer) wrong(error, kInconclusive);
  return answer;
}

std::optional<Fleet> fleet_of_one(const Fleet& fleet, const std::string& name) {
  for (const auto& router : fleet.routers)
    if (router.first == name) return Fleet{fleet.name, {router}};
  return {};
}

int call(const Options& o, Call::Kind kind) {
  auto fleet = fleet_of(o);
  if (!fleet) return kWrongInput;
  std::string error;
  auto outcome =
      call_any(*fleet, {kind, o.name, o.text, o.expect, "violetusher-kit", 0, 0, 0}, error);
  if (!outcome) return wrong(error, kInconclusive);
  Json out{{"status", core::ledger::name_of(outcome->status)}, {"version", outcome->version}};
  if (kind == Call::Kind::kGet && outcome->version) out["text"] = outcome->text;
  print(out);
  return outcome->status == Outcome::Status::kDone ? kPass : kFail;
}

int status(const Options& o) {
  auto fleet = fleet_of(o);
  if (!fleet) return kWrongInput;
  Json all = Json::array();
  bool complete = true;
  for (const Said& said : ask_each(*fleet)) {
    complete &= said.status.has_value();
    all.push_back(said.status ? *said.status : Json{{"name", said.router}, {"error", said.error}});
  }
  print(all);
  return complete ? kPass : kFail;
}

/// Of the router that leads: there may be two that say so for a moment, and the newer term counts.
std::optional<Json> leader_of(const Fleet& fleet) {
  std::optional<Json> leads;
  auto term = [](const Json& s) { return s.value("log", Json::object()).value("term", 0u); };
  for (const Said& said : ask_each(fleet)) {
    const auto& status = said.status;
    if (status && status->value("stage", "") == "leads" && (!leads || term(*leads) < term(*status)))
      leads = status;
  }
  return leads;
}

int members(const Options& o) {
  auto fleet = fleet_of(o);
  if (!fleet) return kWrongInput;
  auto leads = leader_of(*fleet);
  if (!leads) return wrong("nobody leads the ledger", kInconclusive);
  print({{"leader", (*leads)["name"]},
         {"epoch", (*leads)["epoch"]},
         {"members", (*leads)["members"]}});
  return kPass;
}

bool has(const Json& status, const std::string& name, bool votes) {
  for (const Json& m : status["members"])
    if (m.value("name", "") == name && (!votes || m.value("votes", false))) return true;
  return false;
}

int move(const Options& o) {
  auto fleet = fleet_of(o);
  if (!fleet) return kWrongInput;
  using Clock = std::chrono::steady_clock;
  auto until = Clock::now() + std::chrono::seconds(kMoveSeconds);
  std::string why = "nobody leads the ledger";
  bool begun = false;
  while (Clock::now() < until) {
    std::string error;
    auto leads = leader_of(*fleet);
    if (leads && has(*leads, o.to, true) && !has(*leads, o.from, false)) {
      print({{"leader", (*leads)["name"]}, {"members", (*leads)["members"]}});
      return kPass;
    }
    auto asked = leads && !begun ? fleet_of_one(*fleet, (*leads)["name"]) : std::nullopt;
    if (asked)
      if (auto a = ask_any(*asked, "move", {{"from", o.from}, {"to", o.to}}, error)) {
        if (a->body.contains("error")) return wrong(a->body.value("error", ""), kFail);
        begun = a->body.contains("moving");
        why = a->body.value("again", "the move is not done yet: see 'ledger members'");
      }
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
  return wrong(why, kInconclusive);
}

/// Each change of the values that a router acts on, as a line of JSON.
int watch(const Options& o) {
  auto fleet = fleet_of(o);
  if (!fleet) return kWrongInput;
  using Clock = std::chrono::steady_clock;
  auto until = Clock::now() + std::chrono::milliseconds(static_cast<int>(o.for_s * 1000));
  Json before = Json::object();
  bool heard = false;
  while (Clock::now() < until) {
    std::string error;
    if (auto a = ask_any(*fleet, "view", Json::object(), error)) {
      heard = true;
      Json now = a->body.value("values", Json::object());
      for (const auto& [name, v] : now.items())
        if (name.rfind(o.prefix, 0) == 0 && before.value(name, Json()) != v)
          std::printf("%s\n", Json{{"name", name}, {"value", v}}
                                  .dump(-1, ' ', false, Json::error_handler_t::replace)
                                  .c_str());
      for (const auto& [name, v] : before.items())
        if (name.rfind(o.prefix, 0) == 0 && !now.contains(name))
          std::printf("%s\n", Json{{"name", name}, {"value", nullptr}}.dump().c_str());
      std::fflush(stdout);
      before = std::move(now);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
  return heard ? kPass : wrong("no router answered", kInconclusive);
}

int ask_one(const Options& o, const std::string& kind, const Json& body) {
  auto fleet = fleet_of(o);
  if (!fleet) return kWrongInput;
  auto answer = ask(*fleet, kind, body);
  if (!answer) return kInconclusive;
  print(answer->body);
  return answer->body.contains("error") ? kFail : kPass;
}

int may_stop(const Options& o) {
  auto fleet = fleet_of(o);
  if (!fleet) return kWrongInput;
  for (const auto& [name, address] : fleet->routers) {
    std::string error;
    auto answer =
        ask_ledger(address, fleet->name, "may-stop", {{"names", o.names}}, kLedgerAnswerMs, error);
    if (!answer || answer->kind != "may-stop") continue;
    print(answer->body);
    return answer->body.value("may", false) ? kPass : kFail;
  }
  return wrong("nobody leads the ledger: stop nobody", kInconclusive);
}

int check(const Options& o) {
  ledger::SqliteStorage storage(o.folder, true);
  ledger::Image image;
  std::string error;
  if (storage.load(image, error) != ledger::LoadResult::kOk)
    return wrong(o.folder + ": " + error, kFail);
  print(ledger::describe(image));
  return kPass;
}

int rescue(const Options& o) {
  ledger::SqliteStorage storage(o.folder);
  ledger::Image image;
  std::string error;
  if (storage.load(image, error) != ledger::LoadResult::kOk)
    return wrong(o.folder + ": " + error, kFail);
  std::random_device random;
  auto plan = ledger::plan_rescue(image, o.name, (std::uint64_t{random()} << 32) | 1,
                                  storage.fingerprint(), error);
  if (!plan) return wrong(o.folder + ": " + error, kFail);
  print(plan->report);
  if (!o.yes) return wrong("nothing was changed; --yes does it", kFail);
  if (!storage.commit(plan->ops)) return wrong(o.folder + ": " + storage.error(), kFail);
  return kPass;
}

}  // namespace

void add_ledger(CLI::App& app, int& code) {
  CLI::App* all = app.add_subcommand("ledger", "What the routers of a fleet hold together");
  all->require_subcommand(1);
  auto o = std::make_shared<Options>();
  auto online = [&](const char* name, const char* about, std::function<int()> run) {
    CLI::App* sub = all->add_subcommand(name, about);
    sub->add_option("file", o->file, "an operator file that has the fleet's ledger and peers")
        ->required();
    sub->add_option("--at", o->at, "ask this router alone");
    sub->callback([run = std::move(run), &code] { code = run(); });
    return sub;
  };
  online("status", "Where each router stands", [o] { return status(*o); });
  online("found", "Begins a ledger at one router, once in a fleet's life", [o] {
    if (o->at.empty()) return wrong("found wants --at: the router that begins");
    return ask_one(*o, "found", Json::object());
  });
  online("vouch", "Lets a keeper vote whose disk is known to be no old one", [o] {
    if (o->at.empty()) return wrong("vouch wants --at: the router whose disk it is");
    return ask_one(*o, "vouch", Json::object());
  });
  online("view", "What a router acts on, and how old that may be",
         [o] { return ask_one(*o, "view", Json::object()); });
  CLI::App* get =
      online("get", "Reads a value from the majority", [o] { return call(*o, Call::Kind::kGet); });
  CLI::App* put = online("put", "Writes a value", [o] { return call(*o, Call::Kind::kPut); });
  CLI::App* erase =
      online("erase", "Takes a value away", [o] { return call(*o, Call::Kind::kErase); });
  for (CLI::App* sub : {get, put, erase})
    sub->add_option("name", o->name, "its name, such as value/owner")->required();
  put->add_option("text", o->text)->required();
  for (CLI::App* sub : {put, erase})
    sub->add_option("--expect", o->expect, "the version that must stand; 0: none may")
        ->check(CLI::NonNegativeNumber);
  CLI::App* stop = online("may-stop", "Whether a majority is left when these stop",
                          [o] { return may_stop(*o); });
  stop->add_option("names", o->names)->required();
  online("members", "Who keeps the ledger, by its leader", [o] { return members(*o); });
  CLI::App* moved =
      online("move", "Gives one keeper's place to another router", [o] { return move(*o); });
  moved->add_option("from", o->from, "a router that keeps")->required();
  moved->add_option("to", o->to, "one that may, and does not")->required();
  CLI::App* watched = online("watch", "Prints each change of the values, as a line of JSON",
                             [o] { return watch(*o); });
  watched->add_option("prefix", o->prefix, "of the names, such as out/");
  watched->add_option("--for", o->for_s, "seconds")->check(CLI::Range(0.1, 86400.0));
  CLI::App* checked = all->add_subcommand("check", "Reads the files of a router that is away");
  checked->add_option("folder", o->folder)->required();
  checked->callback([o, &code] { code = check(*o); });
  CLI::App* rescued = all->add_subcommand(
      "rescue", "Makes a group of one of what is left, where the majority is lost with its disks");
  rescued->add_option("folder", o->folder, "of the router that has the most")->required();
  rescued->add_option("--name", o->name, "that router's name")->required();
  rescued->add_flag("--yes", o->yes, "do it; without, only what would be done is told");
  rescued->callback([o, &code] { code = rescue(*o); });
}

}  // namespace violetusher::kit
