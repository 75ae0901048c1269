#include "model.hpp"
#include "schema.hpp"

namespace violetusher::core::config {
namespace {

std::string quoted(const std::string& text) {
  std::string out = "\"";
  for (char c : text) {
    if (c == '"' || c == '\\') out += '\\';
    out += c;
  }
  return out + '"';
}

class Formatter {
 public:
  std::string run(const Tree& tree) {
    write(tree.nodes, 0, "");
    if (!tree.closing_comments.empty() && !out_.empty()) out_ += '\n';
    comments(tree.closing_comments, 0);
    return std::move(out_);
  }

 private:
  void indent(int depth) { out_.append(static_cast<std::size_t>(depth) * 2, ' '); }
  void comments(const std::vector<std::string>& lines, int depth) {
    for (const std::string& line : lines) {
      indent(depth);
      out_ += '#' + line + '\n';
    }
  }
  void end_line(const std::string& trailing_comment) {
    if (!trailing_comment.empty()) out_ += "  " + trailing_comment;
    out_ += '\n';
  }

  static std::string scalar(const Value& v, std::optional<Type> type) {
    if (v.kind == Value::Kind::kText) return quoted(v.text);
    double quantity = 0;
    if (v.kind == Value::Kind::kNumber && type && parse_quantity(*type, v.text, quantity))
      return format_quantity(*type, quantity);
    return v.text;
  }

  void write(const std::vector<Node>& nodes, int depth, const std::string& parent_kind) {
    const SectionRule* inside = nullptr;
    for (const SectionRule& rule : sections())
      if (rule.kind == parent_kind) inside = &rule;
    bool first = true, before_was_block = false;
    for (const Node& node : nodes) {
      bool block = node.kind == Node::Kind::kBlock;
      if (!first && (depth == 0 ? block || before_was_block : block)) out_ += '\n';
      first = false;
      before_was_block = block;
      comments(node.comments, depth);
      indent(depth);
      if (block) {
        out_ += node.key;
        if (!node.name.empty()) out_ += ' ' + (plain(node.name) ? node.name : quoted(node.name));
        out_ += " {";
        end_line(node.trailing_comment);
        write(node.nodes, depth + 1, node.key);
        comments(node.closing_comments, depth + 1);
        indent(depth);
        out_ += '}';
        end_line(node.closing_trailing_comment);
        continue;
      }
      std::optional<Type> type;
      if (node.kind == Node::Kind::kVersion) type = Type::kInteger;
      if (inside)
        for (const KeyRule& k : inside->keys)
          if (k.key == node.key || inside->free_keys) type = k.type;
      out_ += node.key + (node.kind == Node::Kind::kSetting ? " = " : " ");
      if (node.value.kind == Value::Kind::kList) {
        out_ += '[';
        for (std::size_t k = 0; k < node.value.items.size(); ++k)
          out_ += (k ? ", " : "") + scalar(node.value.items[k], type);
        out_ += ']';
      } else {
        out_ += scalar(node.value, type);
      }
      out_ += ';';
      end_line(node.trailing_comment);
    }
  }

  static bool plain(const std::string& name) {
    auto letter = [](char c) {
      return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_';
    };
    if (name.empty() || !letter(name[0])) return false;
    for (char c : name)
      if (!letter(c) && !(c >= '0' && c <= '9') && c != '-' && c != '.') return false;
    return true;
  }

  std::string out_;
};

}  // namespace

std::string format(const Tree& tree) { return Formatter().run(tree); }

}  // namespace violetusher::core::config
