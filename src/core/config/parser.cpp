#include "syntax.hpp"

namespace violetusher::core::config {
namespace {

constexpr int kMaxDepth = 8;  // of nested blocks

class Parser {
 public:
  Parser(const Sources& sources, std::uint32_t file, Diagnostics& diagnostics)
      : errors_before_(diagnostics.count()),
        tokens_(tokenize(sources, file, diagnostics)),
        diagnostics_(diagnostics),
        lexer_failed_(diagnostics.count() > errors_before_) {
    diagnostics.enter(Diagnostic::Stage::kParser);
  }

  Tree run() {
    Tree tree;
    while (!is(Token::Kind::kEnd) && !diagnostics_.full()) {
      if (is(Token::Kind::kClose)) {
        diagnostics_.add(current().at, "unmatched '}'", "");
        ++at_;
        continue;
      }
      Node node;
      if (read_node(node, 0)) tree.nodes.push_back(std::move(node));
    }
    tree.closing_comments = tokens_.back().comments;
    return tree;
  }

 private:
  const Token& current() const { return tokens_[at_]; }
  bool is(Token::Kind kind) const { return current().kind == kind; }

  static std::string describe_token(const Token& t) {
    switch (t.kind) {
      case Token::Kind::kEnd:
        return "the end of the file";
      case Token::Kind::kText:
        return "\"" + t.text.substr(0, 40) + "\"";
      default:
        return "'" + t.text.substr(0, 40) + "'";
    }
  }

  void expected(const std::string& what, const std::string& hint = "") {
    // A missing token is reported just behind the token before it.
    const Token& t = current();
    if (lexer_failed_ && t.kind == Token::Kind::kEnd) return;
    bool missing = what == "';'" && at_ > 0;
    if (missing) {
      const Token& before = tokens_[at_ - 1];
      Position end = before.at;
      end.column += before.length;
      diagnostics_.add(end, "missing ';'", "each setting ends with ';'");
    } else {
      diagnostics_.add(t.at, "expected " + what + ", found " + describe_token(t), hint,
                       std::max(1u, t.length));
    }
  }

  /// Continues behind the next ';', or at the '}' that closes this block.
  void recover() {
    int depth = 0;
    while (!is(Token::Kind::kEnd)) {
      if (is(Token::Kind::kOpen)) ++depth;
      if (is(Token::Kind::kClose)) {
        if (depth == 0) return;
        if (--depth == 0) {
          ++at_;
          return;
        }
      }
      bool ends = is(Token::Kind::kSemicolon) && depth == 0;
      ++at_;
      if (ends) return;
    }
  }

  bool semicolon(Node& node) {
    if (is(Token::Kind::kSemicolon)) {
      node.trailing_comment = current().trailing_comment;
      ++at_;
      return true;
    }
    bool next_line = at_ > 0 && current().at.line > tokens_[at_ - 1].at.line;
    expected("';'");
    if (!next_line && !is(Token::Kind::kClose)) recover();
    return true;  // the setting itself is complete
  }

  /// Moves comments inside a node to the lines before it, since the canonical form has no place for
  /// them within the node and none may be lost. `last` is the node's last token, which keeps its
  /// trailing comment.
  void collect_comments(Node& node, std::size_t from, std::size_t last) {
    for (std::size_t k = from; k <= last && k < tokens_.size(); ++k) {
      if (k > from)
        node.comments.insert(node.comments.end(), tokens_[k].comments.begin(),
                             tokens_[k].comments.end());
      if (k < last && !tokens_[k].trailing_comment.empty())
        node.comments.push_back(tokens_[k].trailing_comment.substr(1));
    }
  }

  bool read_node(Node& node, int depth) {
    std::size_t from = at_;
    bool good = read_rest(node, depth);
    if (node.kind != Node::Kind::kBlock && good) collect_comments(node, from, at_ - 1);
    return good;
  }

  bool read_rest(Node& node, int depth) {
    std::size_t from = at_;
    const Token& first = current();
    node.at = first.at;
    node.length = first.length;
    node.comments = first.comments;
    if (first.kind != Token::Kind::kName) {
      expected("a name", "settings are KEY = VALUE; and sections KIND NAME { ... }");
      std::size_t before = at_;
      recover();
      if (at_ == before) ++at_;
      return false;
    }
    node.key = first.text;
    ++at_;
    if (depth == 0 && node.key == "include" && !is(Token::Kind::kEquals)) {
      node.kind = Node::Kind::kInclude;
      if (!is(Token::Kind::kText)) return fail("a quoted file name", "include \"pools.conf\";");
      node.value = scalar();
      return semicolon(node);
    }
    if (depth == 0 && node.key == "version" && !is(Token::Kind::kEquals)) {
      node.kind = Node::Kind::kVersion;
      if (!is(Token::Kind::kNumber)) return fail("a version number", "version 1;");
      node.value = scalar();
      return semicolon(node);
    }
    if (is(Token::Kind::kEquals)) {
      ++at_;
      if (!read_value(node.value, 0)) {
        recover();
        return false;
      }
      return semicolon(node);
    }
    node.kind = Node::Kind::kBlock;
    if (is(Token::Kind::kName) || is(Token::Kind::kText)) {
      node.name = current().text;
      node.name_at = current().at;
      node.name_length = current().length;
      ++at_;
    } else {
      node.name_at = node.at;
      node.name_length = node.length;
    }
    if (!is(Token::Kind::kOpen))
      return fail("'=' or '{'", "settings are KEY = VALUE; and sections KIND NAME { ... }");
    if (depth + 1 > kMaxDepth) {
      diagnostics_.add(current().at, "sections nested more than 8 deep", "");
      recover();
      return false;
    }
    node.trailing_comment = current().trailing_comment;
    collect_comments(node, from, at_);
    Position opened = current().at;
    ++at_;
    while (!is(Token::Kind::kClose)) {
      if (is(Token::Kind::kEnd) || diagnostics_.full()) {
        if (!diagnostics_.full() && !lexer_failed_)
          diagnostics_.add(opened, "'{' is not closed", "close the section with '}'");
        return true;
      }
      Node inner;
      if (read_node(inner, depth + 1)) node.nodes.push_back(std::move(inner));
    }
    node.closing_comments = current().comments;
    node.closing_trailing_comment = current().trailing_comment;
    ++at_;
    if (is(Token::Kind::kSemicolon)) {  // a common mistake, which is accepted
      const Token& t = current();
      node.closing_comments.insert(node.closing_comments.end(), t.comments.begin(),
                                   t.comments.end());
      if (node.closing_trailing_comment.empty())
        node.closing_trailing_comment = t.trailing_comment;
      else if (!t.trailing_comment.empty())
        node.closing_comments.push_back(t.trailing_comment.substr(1));
      ++at_;
    }
    return true;
  }

  bool fail(const std::string& what, const std::string& hint) {
    expected(what, hint);
    recover();
    return false;
  }

  Value scalar() {
    const Token& t = current();
    Value v;
    v.kind = t.kind == Token::Kind::kText     ? Value::Kind::kText
             : t.kind == Token::Kind::kNumber ? Value::Kind::kNumber
                                              : Value::Kind::kName;
    v.text = t.text;
    v.at = t.at;
    v.length = t.length;
    ++at_;
    return v;
  }

  bool read_value(Value& value, int depth) {
    if (is(Token::Kind::kName) || is(Token::Kind::kText) || is(Token::Kind::kNumber)) {
      value = scalar();
      return true;
    }
    if (!is(Token::Kind::kOpenList)) {
      expected("a value", "a number with a unit, a name, a quoted string or a list [..]");
      return false;
    }
    value.kind = Value::Kind::kList;
    value.at = current().at;
    value.length = 1;
    if (depth > 0) {
      diagnostics_.add(current().at, "nested list", "lists hold names, strings and numbers");
      return false;
    }
    ++at_;
    while (!is(Token::Kind::kCloseList)) {
      Value item;
      if (!read_value(item, depth + 1)) return false;
      value.items.push_back(std::move(item));
      if (is(Token::Kind::kComma)) {
        ++at_;
      } else if (!is(Token::Kind::kCloseList)) {
        expected("',' or ']'");
        return false;
      }
    }
    ++at_;
    return true;
  }

  std::size_t errors_before_;
  std::vector<Token> tokens_;
  std::size_t at_ = 0;
  Diagnostics& diagnostics_;
  bool lexer_failed_;  // the lexer skipped input, so an early end of the file isn't reported again
};

}  // namespace

Tree parse(const Sources& sources, std::uint32_t file, Diagnostics& diagnostics) {
  return Parser(sources, file, diagnostics).run();
}

}  // namespace violetusher::core::config
