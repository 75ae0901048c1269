// Compiles parse trees to a model: includes, sections and keys according to the schema, references.
// Checks that need the complete model are in check.cpp.
#include <algorithm>
#include <set>

#include "check.hpp"
#include "model.hpp"
#include "schema.hpp"

namespace violetusher::core::config {
namespace {

constexpr std::size_t kMaxIncludeDepth = 16;

/// A section with its settings, matched to its rule.
struct Section {
  const Node* node = nullptr;
  const SectionRule* rule = nullptr;
  std::map<std::string, const Node*> settings;
  std::vector<Section> children;
};

class Compiler {
 public:
  Compiler(Compiled& out, const Loader& load) : out_(out), load_(load) {}

  void run(const std::string& name, const std::string& text) {
    // The trees must not be reallocated while there are pointers to their nodes.
    out_.trees.reserve(kMaxFiles + 1);
    read(name, text);
    for (const Node* node : blocks_) read_section(*node, nullptr, sections_);
    register_names();
    resolve_references();
    build_model();
    if (out_.diagnostics.none()) check_model(out_.model, positions_, out_.diagnostics);
    out_.diagnostics.finalize();
  }

 private:
  void read(const std::string& name, const std::string& text) {
    std::uint32_t file = out_.sources.add(name, text);
    chain_.push_back(name);
    out_.trees.push_back(parse(out_.sources, file, out_.diagnostics));
    out_.diagnostics.enter(Diagnostic::Stage::kSemantics);
    std::size_t tree = out_.trees.size() - 1;
    bool first = true;
    for (std::size_t k = 0; k < out_.trees[tree].nodes.size(); ++k) {
      const Node& node = out_.trees[tree].nodes[k];
      if (node.kind == Node::Kind::kVersion) {
        double version = 0;
        if (!first || file != 0)
          out_.diagnostics.add(node.at, "'version' is only allowed at the top of the first file",
                               "", node.length);
        else if (!parse_quantity(Type::kInteger, node.value.text, version) || version != 1)
          out_.diagnostics.add(node.value.at, "version " + node.value.text + " is not supported",
                               "this program supports version 1", node.value.length);
      } else if (first && file == 0) {
        out_.diagnostics.add(node.at, "the first line must be 'version 1;'",
                             "it gives the version of the file format", node.length);
      }
      first = false;
      if (node.kind == Node::Kind::kInclude)
        include(node);
      else if (node.kind == Node::Kind::kBlock)
        blocks_.push_back(&node);
      else if (node.kind == Node::Kind::kSetting)
        out_.diagnostics.add(node.at, "'" + node.key + "' is outside of a section", sections_hint(),
                             node.length);
    }
    if (first && file == 0 && out_.diagnostics.none())
      out_.diagnostics.add({file, 1, 1}, "the file is empty", "begin with 'version 1;'");
    chain_.pop_back();
  }

  void include(const Node& node) {
    auto report = [&](const std::string& what, const std::string& hint) {
      out_.diagnostics.add(node.value.at, what, hint, node.value.length);
    };
    Loaded loaded = load_(chain_.back(), node.value.text);
    auto at = std::find(chain_.begin(), chain_.end(), loaded.name);
    if (loaded.error.empty() && at != chain_.end()) {
      std::string loop;
      for (; at != chain_.end(); ++at) loop += *at + " -> ";
      return report("include loop: " + loop + loaded.name,
                    "a file can't include itself, directly or indirectly");
    }
    if (!loaded.error.empty())
      return report("cannot include \"" + node.value.text + "\": " + loaded.error, "");
    if (!included_.insert(loaded.name).second)
      return report("\"" + node.value.text + "\" is included twice",
                    "its names would be defined twice");
    if (chain_.size() >= kMaxIncludeDepth) return report("includes nested more than 16 deep", "");
    if (out_.sources.count() >= kMaxFiles) return report("more than 256 files", "");
    if (out_.sources.bytes() + loaded.text.size() > kMaxTotalBytes)
      return report("more than 16 MiB in all files", "");
    read(loaded.name, loaded.text);
  }

  static std::string sections_hint() {
    std::string text = "sections: ";
    for (const SectionRule& rule : sections())
      if (rule.parent_kind.empty()) text += (text.size() > 10 ? ", " : "") + std::string(rule.kind);
    return text;
  }

  void read_section(const Node& node, const Section* parent, std::vector<Section>& to) {
    std::string_view parent_kind = parent ? parent->rule->kind : std::string_view();
    Section section;
    section.node = &node;
    section.rule = find_section(node.key, parent_kind);
    if (!section.rule) {
      std::vector<std::string_view> kinds;
      for (const SectionRule& rule : sections())
        if (rule.parent_kind == parent_kind) kinds.push_back(rule.kind);
      auto suggestion = closest_match(node.key, kinds);
      out_.diagnostics.add(
          node.at,
          "unknown section '" + node.key + "'" +
              (parent ? " inside '" + parent->node->key + "'" : ""),
          suggestion.empty() ? sections_hint() : "did you mean '" + std::string(suggestion) + "'?",
          node.length);
      return;
    }
    if (section.rule->named && node.name.empty()) {
      out_.diagnostics.add(node.at, "this " + node.key + " has no name", node.key + " NAME { ... }",
                           node.length);
      return;
    }
    if (!section.rule->named && !node.name.empty())
      out_.diagnostics.add(node.name_at, "'" + node.key + "' takes no name", "", node.name_length);
    for (const Node& inner : node.nodes) {
      if (inner.kind == Node::Kind::kBlock)
        read_section(inner, &section, section.children);
      else
        read_setting(inner, section);
    }
    for (const KeyRule& k : section.rule->keys)
      if (k.required && !section.settings.count(std::string(k.key)) &&
          !invalid_keys_.count({&node, std::string(k.key)}))
        out_.diagnostics.add(node.name_at,
                             node.key + " " + node.name + " lacks '" + std::string(k.key) + "'",
                             std::string(k.key) + " = " +
                                 (k.refers.empty() ? std::string(example(k.type)) : "NAME") + ";",
                             node.name_length);
    to.push_back(std::move(section));
  }

  void read_setting(const Node& node, Section& section) {
    const KeyRule* rule = nullptr;
    for (const KeyRule& k : section.rule->keys)
      if (section.rule->free_keys || k.key == node.key) rule = &k;
    if (!rule) {
      std::vector<std::string_view> keys;
      std::string known;
      for (const KeyRule& k : section.rule->keys) {
        keys.push_back(k.key);
        known += (known.empty() ? "" : ", ") + std::string(k.key);
      }
      auto suggestion = closest_match(node.key, keys);
      // The suggested key is not reported as missing in addition.
      if (!suggestion.empty()) invalid_keys_.insert({section.node, std::string(suggestion)});
      out_.diagnostics.add(
          node.at, "unknown key '" + node.key + "' in a " + section.node->key,
          suggestion.empty() ? "keys: " + known : "did you mean '" + std::string(suggestion) + "'?",
          node.length);
      return;
    }
    auto [at, fresh] = section.settings.emplace(node.key, &node);
    if (!fresh) {
      out_.diagnostics.add(node.at, "'" + node.key + "' is set twice in this " + section.node->key,
                           "first set in line " + std::to_string(at->second->at.line), node.length);
      return;
    }
    bool good = true;
    if (node.value.kind == Value::Kind::kList) {
      if (!rule->list) {
        out_.diagnostics.add(node.value.at, "'" + node.key + "' takes one value, not a list",
                             node.key + " = " + std::string(example(rule->type)) + ";",
                             node.value.length);
        good = false;
      }
      if (rule->list && node.value.items.empty()) {
        out_.diagnostics.add(node.value.at, "empty list",
                             "leave '" + node.key + "' out to match anything", node.value.length);
        good = false;
      }
      for (std::size_t k = 0; good && k < node.value.items.size(); ++k)
        good = check_value(node.value.items[k], *rule, node.key);
    } else {
      good = check_value(node.value, *rule, node.key);
    }
    if (!good) {
      section.settings.erase(node.key);
      invalid_keys_.insert({section.node, node.key});
    }
  }

  bool check_value(const Value& v, const KeyRule& rule, const std::string& key) {
    auto reject = [&](const std::string& what, const std::string& hint) {
      out_.diagnostics.add(v.at, what, hint, v.length);
      return false;
    };
    std::string expected = "'" + key + "' must be " + std::string(describe(rule.type));
    std::string example_text = key + " = " + std::string(example(rule.type)) + ";";
    switch (rule.type) {
      case Type::kName:
        if (v.kind == Value::Kind::kName || (v.kind == Value::Kind::kText && !v.text.empty()))
          return true;
        return reject(expected, example_text);
      case Type::kText:
      case Type::kPattern:
        if (v.kind == Value::Kind::kText && !v.text.empty() && v.text.size() <= 250) return true;
        return reject(expected + " of 1 to 250 bytes", example_text);
      case Type::kFlag:
        if (v.kind == Value::Kind::kName && (v.text == "on" || v.text == "off")) return true;
        return reject(expected, example_text);
      case Type::kAddress:
        if (v.kind == Value::Kind::kText && loopback(v.text)) return true;
        return reject(expected, example_text);
      default:
        break;
    }
    double quantity = 0;
    if (v.kind != Value::Kind::kNumber || !parse_quantity(rule.type, v.text, quantity)) {
      bool bare =
          v.kind == Value::Kind::kNumber && parse_quantity(Type::kInteger, v.text, quantity);
      if (bare && rule.type != Type::kInteger)
        return reject("'" + v.text + "' has no unit: '" + key + "' must be " +
                          std::string(describe(rule.type)),
                      example_text);
      return reject(expected, example_text);
    }
    double high = rule.type == Type::kPercent ? std::min(rule.high, 1.0) : rule.high;
    if (quantity < rule.low || quantity > high)
      return reject("'" + key + "' must be from " + format_quantity(rule.type, rule.low) + " to " +
                        format_quantity(rule.type, high),
                    "");
    if (rule.type == Type::kRate && quantity <= 0)
      return reject("a rate of 0 admits no requests", "leave '" + key + "' out for no limit");
    return true;
  }

  static bool loopback(const std::string& text) {
    std::size_t colon = text.rfind(':');
    if (colon == text.npos || text.rfind("127.", 0) != 0) return false;
    int parts = 0;
    std::size_t at = 0;
    std::string host = text.substr(0, colon);
    while (at <= host.size()) {
      std::size_t end = std::min(host.find('.', at), host.size());
      double part = 0;
      if (end == at || end - at > 3 ||
          !parse_quantity(Type::kInteger, std::string_view(host).substr(at, end - at), part) ||
          part < 0 || part > 255)
        return false;
      ++parts;
      at = end + 1;
    }
    double port = 0;
    return parts == 4 &&
           parse_quantity(Type::kInteger, std::string_view(text).substr(colon + 1), port) &&
           port >= 1 && port <= 65535;
  }

  void register_names() {
    for (const Section& section : sections_) {
      auto [at, fresh] =
          names_[std::string(section.rule->kind)].emplace(section.node->name, section.node);
      if (!fresh)
        out_.diagnostics.add(
            section.node->name_at,
            std::string(section.rule->kind) + " '" + section.node->name + "' is defined twice",
            "first defined at " + out_.sources.name(at->second->at.file) + ":" +
                std::to_string(at->second->at.line),
            section.node->name_length);
    }
  }

  void resolve_reference(const std::string& kind, const std::string& name, Position at,
                         std::uint32_t length) {
    const auto& known = names_[kind];
    if (known.count(name)) return;
    std::vector<std::string_view> words;
    for (const auto& [k, node] : known) words.push_back(k);
    auto suggestion = closest_match(name, words);
    out_.diagnostics.add(at, kind + " '" + name + "' is not defined",
                         suggestion.empty() ? "define it: " + kind + " " + name + " { ... }"
                                            : "did you mean '" + std::string(suggestion) + "'?",
                         length);
  }

  void resolve_references() {
    std::function<void(const Section&)> visit = [&](const Section& section) {
      for (const auto& [key, node] : section.settings) {
        for (const KeyRule& k : section.rule->keys) {
          if (k.refers.empty() || (!section.rule->free_keys && k.key != key)) continue;
          if (section.rule->free_keys)
            resolve_reference(std::string(k.refers), key, node->at, node->length);
          else if (node->value.kind == Value::Kind::kList)
            for (const Value& v : node->value.items)
              resolve_reference(std::string(k.refers), v.text, v.at, v.length);
          else
            resolve_reference(std::string(k.refers), node->value.text, node->value.at,
                              node->value.length);
        }
      }
      for (const Section& inner : section.children) visit(inner);
    };
    for (const Section& section : sections_) visit(section);
  }

  struct Reader {
    const Section& r;
    const Value* find(const char* key) const {
      auto it = r.settings.find(key);
      return it == r.settings.end() ? nullptr : &it->second->value;
    }
    std::string text(const char* key) const { return find(key) ? find(key)->text : std::string(); }
    double quantity(const char* key, double fallback) const {
      const Value* v = find(key);
      if (!v) return fallback;
      double f = fallback;
      for (const KeyRule& k : r.rule->keys)
        if (k.key == key) parse_quantity(k.type, v->text, f);
      return f;
    }
    std::int64_t integer(const char* key, std::int64_t fallback) const {
      return static_cast<std::int64_t>(quantity(key, static_cast<double>(fallback)));
    }
    std::vector<std::string> texts(const char* key) const {
      const Value* v = find(key);
      if (!v) return {};
      if (v->kind != Value::Kind::kList) return {v->text};
      std::vector<std::string> list;
      for (const Value& item : v->items) list.push_back(item.text);
      return list;
    }
    std::vector<std::string> sorted(const char* key) const {
      auto list = texts(key);
      std::sort(list.begin(), list.end());
      list.erase(std::unique(list.begin(), list.end()), list.end());
      return list;
    }
  };

  void build_model() {
    Model& m = out_.model;
    for (const Section& section : sections_) {
      Reader r{section};
      const std::string& name = section.node->name;
      std::string_view kind = section.rule->kind;
      SectionPosition position{section.node->name_at, section.node->name_length, {}};
      for (const auto& [key, node] : section.settings) position.keys[key] = node->value.at;
      positions_[std::string(kind) + " " + name] = position;
      if (kind == "listener") m.listeners[name] = {r.text("address")};
      if (kind == "log") {
        Log& l = m.logs[name] = {r.text("format"), r.text("level")};
        if (l.level.empty()) l.level = "info";
        auto check_choice = [&](const char* key, const std::string& value, const char* choices) {
          if (value.empty() ||
              (" " + std::string(choices) + " ").find(" " + value + " ") != std::string::npos)
            return;
          const Value* v = r.find(key);
          out_.diagnostics.add(v->at, "'" + value + "' is not a valid " + key + " of a log",
                               "one of: " + std::string(choices), v->length);
        };
        check_choice("format", l.format, "text logfmt json");
        check_choice("level", r.text("level"), "info warn error");
        if (m.logs.size() > 1)
          out_.diagnostics.add(section.node->at, "more than one log", "a process has at most one",
                               section.node->length);
      }
      if (kind == "recorder") {
        m.recorders[name] = {r.text("file"), r.integer("size", 0)};
        if (m.recorders.size() > 1)
          out_.diagnostics.add(section.node->at, "more than one recorder",
                               "a process has at most one", section.node->length);
      }
      if (kind == "audit") {
        Audit a;
        m.audits[name] = {r.text("folder"), r.integer("size", a.size), r.integer("keep", a.keep),
                          r.integer("every", a.every)};
        if (m.audits.size() > 1)
          out_.diagnostics.add(section.node->at, "more than one audit", "a process has at most one",
                               section.node->length);
      }
      if (kind == "peer") m.peers[name] = {r.text("address"), r.text("hall")};
      if (kind == "rollout") {
        m.rollouts[name] = {r.text("file"), r.integer("spread", Rollout().spread)};
        if (m.rollouts.size() > kMaxRollouts)
          out_.diagnostics.add(section.node->at, "too many rollouts",
                               "at most " + std::to_string(kMaxRollouts), section.node->length);
      }
      if (kind == "ledger") {
        Ledger& l = m.ledgers[name];
        l = {name,
             r.text("folder"),
             r.text("listen"),
             r.text("keep") == "on",
             r.integer("keepers", l.voters),
             r.integer("followers", l.followers),
             r.integer("replace_after", l.replace_after),
             r.integer("trust_after", l.trust_after)};
        if (l.voters % 2 == 0)
          out_.diagnostics.add(r.find("keepers")->at, "an even number of keepers",
                               "it tolerates no more failures than one less; use 1, 3, 5 or 7",
                               r.find("keepers")->length);
        if (m.ledgers.size() > 1)
          out_.diagnostics.add(section.node->at, "more than one ledger",
                               "a process has at most one", section.node->length);
      }
      if (kind == "class")
        m.classes[name] = {r.integer("attempts", 1), r.integer("worth", 1), r.text("keyed") == "on",
                           r.text("limit")};
      if (kind == "tenant") m.tenants[name] = {r.text("limit")};
      if (kind == "limit") {
        Limit l{r.quantity("rate", 0), r.integer("burst", 0), r.integer("in_flight", 0),
                r.integer("come_back", 0)};
        // The default burst is a tenth of a second's worth of the rate, and at least 1.
        if (l.rate > 0 && !r.find("burst"))
          l.burst = std::max<std::int64_t>(1, static_cast<std::int64_t>(l.rate / 10));
        m.limits[name] = l;
      }
      if (kind == "budget")
        m.budgets[name] = {r.quantity("retries", 0), r.quantity("hedges", 0),
                           r.quantity("floor", 0)};
      if (kind == "pool") {
        Pool p;
        p.zones = r.sorted("halls"), p.kinds = r.sorted("kinds"), p.hosts = r.sorted("hosts"),
        p.servers = r.sorted("servers");
        for (const std::string& b : r.sorted("blocks")) p.blocks.push_back(std::stoll(b));
        std::sort(p.blocks.begin(), p.blocks.end());
        p.limit = r.text("limit"), p.budget = r.text("budget");
        for (const Section& shares : section.children)
          for (const auto& [tenant, node] : shares.settings) {
            double part = 0;
            parse_quantity(Type::kPercent, node->value.text, part);
            p.shares[tenant] = part;
          }
        if (section.children.size() > 1)
          out_.diagnostics.add(section.children[1].node->at, "'shares' is given twice in this pool",
                               "", section.children[1].node->length);
        m.pools[name] = p;
      }
      if (kind == "route") {
        Route t;
        t.listener = r.text("listener"), t.tenant = r.text("tenant"), t.type = r.text("class"),
        t.prefix = r.text("prefix");
        t.pool = r.text("pool"), t.fallbacks = r.texts("fallbacks"), t.limit = r.text("limit"),
        t.budget = r.text("budget");
        t.failover_at = r.quantity("fall_over_at", t.failover_at),
        t.failback_at = r.quantity("fall_back_at", std::min(t.failback_at, t.failover_at));
        t.spill = r.quantity("spill", t.spill);
        m.routes[name] = t;
      }
    }
  }

  Compiled& out_;
  const Loader& load_;
  std::vector<std::string> chain_;
  std::set<std::string> included_;
  std::vector<const Node*> blocks_;
  std::vector<Section> sections_;
  std::map<std::string, std::map<std::string, const Node*>> names_;
  std::set<std::pair<const Node*, std::string>>
      invalid_keys_;  // keys that are present with an invalid value
  SectionPositions positions_;
};

}  // namespace

Compiled compile(const std::string& name, const std::string& text, const Loader& load) {
  Compiled out;
  if (text.size() > kMaxTotalBytes) {
    out.sources.add(name, "");
    out.diagnostics.add({0, 1, 1}, "the file is larger than 16 MiB", "");
    return out;
  }
  Compiler(out, load).run(name, text);
  return out;
}

}  // namespace violetusher::core::config
