#include "syntax.hpp"

namespace violetusher::core::config {
namespace {

constexpr std::size_t kMaxTokenBytes = 4096;

bool starts_name(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; }
bool digit(char c) { return c >= '0' && c <= '9'; }
bool in_name(char c) { return starts_name(c) || digit(c) || c == '-' || c == '.'; }
bool in_number(char c) { return digit(c) || starts_name(c) || c == '.' || c == '%' || c == '/'; }

class Lexer {
 public:
  Lexer(const Sources& sources, std::uint32_t file, Diagnostics& diagnostics)
      : text_(sources.text(file)), diagnostics_(diagnostics) {
    at_.file = file;
  }

  std::vector<Token> run() {
    while (!diagnostics_.full()) {
      skip();
      if (offset_ == text_.size()) break;
      token();
    }
    Token end;
    end.at = at_;
    end.comments = std::move(comments_);
    tokens_.push_back(std::move(end));
    return std::move(tokens_);
  }

 private:
  void step() {
    if (text_[offset_++] == '\n') {
      ++at_.line;
      at_.column = 1;
    } else {
      ++at_.column;
    }
  }

  /// Skips white space and collects comments. A comment on the line of the last token is attached
  /// to that token, any other to the next one.
  void skip() {
    while (offset_ < text_.size()) {
      char c = text_[offset_];
      if (c == ' ' || c == '\t' || c == '\r' || c == '\n') {
        step();
      } else if (c == '#') {
        std::size_t begin = offset_ + 1;
        Position at = at_;
        bool bad = false;
        while (offset_ < text_.size() && text_[offset_] != '\n') {
          bad |= text_[offset_] == '\0';
          step();
        }
        if (bad) diagnostics_.add(at, "NUL byte in a comment", "operator files are plain text");
        std::string comment(text_.substr(begin, offset_ - begin));
        while (!comment.empty() &&
               (comment.back() == ' ' || comment.back() == '\r' || comment.back() == '\t'))
          comment.pop_back();
        if (!tokens_.empty() && tokens_.back().at.line == at.line && comments_.empty() &&
            tokens_.back().trailing_comment.empty())
          tokens_.back().trailing_comment = "#" + comment;
        else
          comments_.push_back(comment);
      } else {
        return;
      }
    }
  }

  void push(Token::Kind kind, Position at, std::string text, std::size_t length) {
    Token t;
    t.kind = kind;
    t.text = std::move(text);
    t.at = at;
    t.length = static_cast<std::uint32_t>(length);
    t.comments = std::move(comments_);
    comments_.clear();
    tokens_.push_back(std::move(t));
  }

  void token() {
    Position at = at_;
    std::size_t begin = offset_;
    char c = text_[offset_];
    auto one = [&](Token::Kind kind) {
      step();
      push(kind, at, std::string(1, c), 1);
    };
    switch (c) {
      case '{':
        return one(Token::Kind::kOpen);
      case '}':
        return one(Token::Kind::kClose);
      case '=':
        return one(Token::Kind::kEquals);
      case ';':
        return one(Token::Kind::kSemicolon);
      case ',':
        return one(Token::Kind::kComma);
      case '[':
        return one(Token::Kind::kOpenList);
      case ']':
        return one(Token::Kind::kCloseList);
      case '"':
        return quoted();
      default:
        break;
    }
    if (starts_name(c) || digit(c) ||
        (c == '-' && offset_ + 1 < text_.size() && digit(text_[offset_ + 1]))) {
      bool number = !starts_name(c);
      step();
      while (offset_ < text_.size() &&
             (number ? in_number(text_[offset_]) : in_name(text_[offset_])))
        step();
      if (offset_ - begin > kMaxTokenBytes) {
        diagnostics_.add(at, "word of " + std::to_string(offset_ - begin) + " bytes",
                         "4096 at most");
        return;
      }
      push(number ? Token::Kind::kNumber : Token::Kind::kName, at,
           std::string(text_.substr(begin, offset_ - begin)), offset_ - begin);
      return;
    }
    // Consecutive characters that can't begin a token give one message.
    while (offset_ < text_.size() && !starts_name(text_[offset_]) && !digit(text_[offset_]) &&
           std::string_view(" \t\r\n#{}=;,[]\"").find(text_[offset_]) == std::string_view::npos)
      step();
    auto byte = static_cast<unsigned char>(c);
    std::string shown = byte == 0                  ? "a NUL byte"
                        : byte < 32 || byte >= 127 ? "byte " + std::to_string(byte)
                                                   : std::string("'") + c + "'";
    diagnostics_.add(at, shown + " is not allowed here",
                     "strings need double quotes, comments begin with '#'",
                     static_cast<std::uint32_t>(offset_ - begin));
  }

  void quoted() {
    Position at = at_;
    std::size_t begin = offset_;
    std::string value;
    step();
    while (offset_ < text_.size() && text_[offset_] != '"' && text_[offset_] != '\n') {
      char c = text_[offset_];
      if (c == '\\' && offset_ + 1 < text_.size() &&
          (text_[offset_ + 1] == '"' || text_[offset_ + 1] == '\\')) {
        step();
        c = text_[offset_];
      } else if (c == '\\') {
        diagnostics_.add(at_, "'\\' must be followed by '\"' or '\\'",
                         "write '\\\\' for a literal '\\'");
      } else if (static_cast<unsigned char>(c) < 32) {
        diagnostics_.add(at_, "control character in a string", "operator files are plain text");
      }
      value += c;
      step();
    }
    if (offset_ == text_.size() || text_[offset_] == '\n') {
      diagnostics_.add(at, "unterminated string", "close it with '\"'");
    } else {
      step();
    }
    if (value.size() > kMaxTokenBytes) {
      diagnostics_.add(at, "string of " + std::to_string(value.size()) + " bytes", "4096 at most");
      value.resize(kMaxTokenBytes);
    }
    push(Token::Kind::kText, at, std::move(value), offset_ - begin);
  }

  std::string_view text_;
  Diagnostics& diagnostics_;
  std::size_t offset_ = 0;
  Position at_;
  std::vector<Token> tokens_;
  std::vector<std::string> comments_;
};

}  // namespace

std::vector<Token> tokenize(const Sources& sources, std::uint32_t file, Diagnostics& diagnostics) {
  diagnostics.enter(Diagnostic::Stage::kLexer);
  return Lexer(sources, file, diagnostics).run();
}

}  // namespace violetusher::core::config
