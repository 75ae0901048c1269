#include "source.hpp"

#include <algorithm>
#include <tuple>

namespace violetusher::core::config {
namespace {

constexpr std::size_t kMaxShownBytes = 100;  // of a source line in a message

}  // namespace

std::uint32_t Sources::add(std::string name, std::string text) {
  bytes_ += text.size();
  files_.push_back({std::move(name), std::move(text)});
  return static_cast<std::uint32_t>(files_.size() - 1);
}

std::string Sources::brief(const Diagnostic& d) const {
  return name(d.at.file) + ":" + std::to_string(d.at.line) + ":" + std::to_string(d.at.column) +
         ": " + d.what;
}

std::string Sources::show(const Diagnostic& d) const {
  const std::string& text = this->text(d.at.file);
  std::size_t begin = 0;
  for (std::uint32_t line = 1; line < d.at.line && begin < text.size(); ++line) {
    std::size_t end = text.find('\n', begin);
    begin = end == text.npos ? text.size() : end + 1;
  }
  std::size_t end = std::min(text.find('\n', begin), text.size());
  std::size_t column = d.at.column - 1;
  std::size_t cut = column > kMaxShownBytes * 2 / 3 ? column - kMaxShownBytes / 2 : 0;
  std::string line = begin + cut <= end
                         ? text.substr(begin + cut, std::min(kMaxShownBytes, end - begin - cut))
                         : std::string();
  for (char& c : line)
    if (static_cast<unsigned char>(c) < 32 || c == 127) c = c == '\t' ? ' ' : '?';
  std::size_t length = std::clamp<std::size_t>(d.length, 1, kMaxShownBytes);
  std::string shown =
      brief(d) + "\n  " + line + "\n  " + std::string(column - cut, ' ') + "^" +
      std::string(std::min(length, kMaxShownBytes - std::min(kMaxShownBytes, column - cut)) > 0
                      ? std::min(length, kMaxShownBytes) - 1
                      : 0,
                  '~');
  if (!d.hint.empty()) shown += "\n  " + d.hint;
  return shown + "\n";
}

void Diagnostics::finalize() {
  std::stable_sort(list_.begin(), list_.end(), [](const Diagnostic& a, const Diagnostic& b) {
    return std::tie(a.at.file, a.at.line, a.stage, a.at.column) <
           std::tie(b.at.file, b.at.line, b.stage, b.at.column);
  });
  std::vector<Diagnostic> kept;
  for (Diagnostic& d : list_) {
    bool same_line =
        !kept.empty() && kept.back().at.file == d.at.file && kept.back().at.line == d.at.line;
    if (same_line && (kept.back().stage < d.stage || d.stage == Diagnostic::Stage::kLexer))
      continue;
    kept.push_back(std::move(d));
  }
  list_ = std::move(kept);
  if (count_ < kMaxShown) count_ = list_.size();
}

}  // namespace violetusher::core::config
