// Implements the subcommands of `config`.
#include "command.hpp"

#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

#include "core/config/diff.hpp"
#include "core/config/model.hpp"
#include "core/config/moved_keys.hpp"
#include "kit/common/files.hpp"
#include "kit/common/units.hpp"
#include "net/operator_file.hpp"

namespace violetusher::kit {
namespace {

namespace config = core::config;

constexpr int kWrongInput = 2, kDiffers = 1;

std::optional<config::Compiled> compile(const std::string& path) {
  std::string error;
  config::Compiled compiled = net::compile_file(path, error);
  if (!error.empty()) {
    std::fprintf(stderr, "%s\n", error.c_str());
    return std::nullopt;
  }
  for (const auto& d : compiled.diagnostics.list())
    std::fprintf(stderr, "%s", compiled.sources.show(d).c_str());
  if (compiled.diagnostics.count() > compiled.diagnostics.list().size())
    std::fprintf(stderr, "more errors were found; only the first %zu are shown\n",
                 compiled.diagnostics.list().size());
  return compiled;
}

int check(const std::string& path) {
  auto compiled = compile(path);
  if (!compiled || !compiled->diagnostics.none()) return kWrongInput;
  const auto& m = compiled->model;
  std::printf("%s: %zu routes, %zu pools, %zu limits, %zu budgets in %zu files: valid\n",
              path.c_str(), m.routes.size(), m.pools.size(), m.limits.size(), m.budgets.size(),
              compiled->sources.count());
  return 0;
}

int format(const std::string& path, bool only_check, bool write) {
  std::string text, error = net::read_regular_file(path, text);
  if (!error.empty()) {
    std::fprintf(stderr, "%s: %s\n", path.c_str(), error.c_str());
    return kWrongInput;
  }
  config::Sources sources;
  config::Diagnostics diagnostics;
  config::Tree tree = config::parse(sources, sources.add(path, text), diagnostics);
  diagnostics.finalize();
  for (const auto& d : diagnostics.list()) std::fprintf(stderr, "%s", sources.show(d).c_str());
  if (!diagnostics.none()) return kWrongInput;
  std::string formatted = config::format(tree);
  if (only_check) {
    if (formatted == text) return 0;
    std::fprintf(stderr, "%s: not in canonical form\n", path.c_str());
    return kDiffers;
  }
  if (!write) {
    std::printf("%s", formatted.c_str());
    return 0;
  }
  if (write_whole(path, formatted)) return 0;
  std::fprintf(stderr, "%s: could not be written\n", path.c_str());
  return kWrongInput;
}

/// Adds the share of keys that move to another server of the host list `list`. Returns false, with
/// the reason on stderr, if the list can't be read.
bool add_moved_keys(const config::Model& before, const config::Model& after,
                    const std::string& list, int keys, std::vector<config::Change>& changes) {
  std::string text, error = net::read_regular_file(list, text);
  std::vector<violetusher::Server> servers;
  try {
    if (error.empty())
      for (const net::Host& host : net::parse_host_list(text).hosts) servers.push_back(host.server);
  } catch (const net::ConfigError& e) {
    error = e.what();
  }
  if (!error.empty()) {
    std::fprintf(stderr, "%s: %s\n", list.c_str(), error.c_str());
    return false;
  }
  auto name = [](const std::string& pool) { return pool.empty() ? "no pool" : "pool " + pool; };
  for (const auto& m : config::moved_keys(before, after, servers, keys)) {
    std::string what = percent(m.share) + " of keys move to another server (" + name(m.before) +
                       " -> " + name(m.after) + ")";
    if (m.nobody > 0) what += "; " + percent(m.nobody) + " have no server";
    changes.push_back({"keys", config::subject_of(m.match), what, m.match});
  }
  return true;
}

int diff(const std::string& before, const std::string& after, const std::string& list, int keys,
         bool json) {
  auto a = compile(before), b = compile(after);
  if (!a || !b || !a->diagnostics.none() || !b->diagnostics.none()) return kWrongInput;
  auto changes = config::diff(a->model, b->model);
  if (!list.empty() && !add_moved_keys(a->model, b->model, list, keys, changes)) return kWrongInput;
  if (json) {
    nlohmann::ordered_json list = nlohmann::ordered_json::array();
    for (const auto& c : changes)
      list.push_back({{"kind", c.kind}, {"subject", c.subject}, {"what", c.what}});
    std::printf("%s\n", list.dump(2).c_str());
  } else {
    for (const auto& c : changes)
      std::printf("%s %s: %s\n", c.kind.c_str(), c.subject.c_str(), c.what.c_str());
    if (changes.empty()) std::printf("no effective changes\n");
  }
  return changes.empty() ? 0 : kDiffers;
}

int explain(const std::string& path, const core::RouteRequest& request) {
  auto compiled = compile(path);
  if (!compiled || !compiled->diagnostics.none()) return kWrongInput;
  std::printf("%s", config::explain(compiled->model, request).c_str());
  return 0;
}

struct Options {
  std::string file, other, list, type, tenant, key, listener;
  int keys = 10'000;
  bool check = false, write = false, json = false;
};

}  // namespace

void add_config(CLI::App& app, int& code) {
  auto o = std::make_shared<Options>();
  CLI::App* sub =
      app.add_subcommand("config", "Checks, formats, compares and explains operator files");
  sub->require_subcommand(1);
  CLI::App* c = sub->add_subcommand("check", "Reports all errors with file, line and column");
  c->add_option("file", o->file)->required();
  c->callback([o, &code] { code = check(o->file); });
  CLI::App* f = sub->add_subcommand("fmt", "Prints the canonical form");
  f->add_option("file", o->file)->required();
  f->add_flag("--check", o->check,
              "print nothing; exit code 1 if the file is not in canonical form");
  f->add_flag("--write", o->write, "rewrite the file in place");
  f->callback([o, &code] { code = format(o->file, o->check, o->write); });
  CLI::App* d =
      sub->add_subcommand("diff", "Shows the effective changes; exit code 1 if there are any");
  d->add_option("old", o->file)->required();
  d->add_option("new", o->other)->required();
  d->add_option("--list", o->list, "a host list (JSON): also report the share of keys that move");
  d->add_option("--keys", o->keys, "number of keys sampled for --list")
      ->check(CLI::Range(100, 1'000'000))
      ->capture_default_str();
  d->add_flag("--json", o->json);
  d->callback([o, &code] { code = diff(o->file, o->other, o->list, o->keys, o->json); });
  CLI::App* e = sub->add_subcommand("explain", "Explains step by step which route a request takes");
  e->add_option("file", o->file)->required();
  e->add_option("--class", o->type);
  e->add_option("--tenant", o->tenant);
  e->add_option("--key", o->key);
  e->add_option("--listener", o->listener);
  e->callback([o, &code] { code = explain(o->file, {o->listener, o->tenant, o->type, o->key}); });
}

}  // namespace violetusher::kit
