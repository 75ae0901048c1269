#include "trail.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>

#include "core/ledger/bytes.hpp"

namespace violetusher::core::audit {
namespace {

constexpr std::size_t kSumLength = 16;

std::string hex(std::uint64_t sum) {
  char text[kSumLength + 1];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(sum));
  return text;
}

template <typename T>
bool number(std::string_view text, T& out, int base) {
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out, base);
  return error == std::errc() && end == text.data() + text.size();
}

/// A parsed line whose sum has not been verified.
struct Line {
  TrailPosition position;
  std::string_view summed, body;
};

std::optional<Line> parse(std::string_view text) {
  Line line;
  if (text.size() < kSumLength + 4 || text[kSumLength] != ' ') return {};
  line.summed = text.substr(kSumLength + 1);
  std::size_t at = line.summed.find(' ');
  if (at == line.summed.npos || !number(text.substr(0, kSumLength), line.position.sum, 16) ||
      !number(line.summed.substr(0, at), line.position.number, 10) || line.position.number == 0 ||
      hex(line.position.sum) != text.substr(0, kSumLength))
    return {};
  line.body = line.summed.substr(at + 1);
  return line;
}

bool sum_matches(const Line& line, std::uint64_t before) {
  return ledger::digest(line.summed, before) == line.position.sum;
}

/// The content of a file's header block.
struct FileHeader {
  std::string router;
  std::uint64_t before = 0;
};

std::optional<FileHeader> parse_header(const Line& line) {
  Json body = Json::parse(line.body, nullptr, false);
  FileHeader h;
  if (!body.is_object() || body.value("k", Json()) != "file" || !body["router"].is_string() ||
      !body["before"].is_string() || !number(body["before"].get_ref<std::string&>(), h.before, 16))
    return {};
  h.router = body["router"];
  return sum_matches(line, h.before) ? std::optional(h) : std::nullopt;
}

/// Removes the next line from `text` and returns it; nothing if no newline is left.
std::optional<std::string_view> consume_line(std::string_view& text) {
  std::size_t end = text.find('\n');
  if (end == text.npos) return {};
  std::string_view line = text.substr(0, end);
  text.remove_prefix(end + 1);
  return line;
}

}  // namespace

std::string_view name_of(Fault::Kind kind) {
  constexpr std::string_view kNames[] = {"torn", "spoilt",    "missing",
                                         "cut",  "rewritten", "foreign"};
  return kNames[static_cast<int>(kind)];
}

std::string format_position(const TrailPosition& position) {
  return std::to_string(position.number) + ":" + hex(position.sum);
}

std::optional<TrailPosition> parse_position(std::string_view text) {
  TrailPosition position;
  std::size_t at = text.find(':');
  if (at == text.npos || !number(text.substr(0, at), position.number, 10) ||
      !number(text.substr(at + 1), position.sum, 16) || position.number == 0 ||
      text != format_position(position))
    return {};
  return position;
}

std::optional<Fault> compare_with_position(const Trail& trail, const TrailPosition& expected) {
  if (trail.last.number < expected.number)
    return Fault{Fault::Kind::kTruncated, trail.last.number + 1, expected.number, {}};
  auto at = std::lower_bound(trail.blocks.begin(), trail.blocks.end(), expected.number,
                             [](const Block& b, std::uint64_t n) { return b.number < n; });
  if (at == trail.blocks.end() || at->number != expected.number || at->sum == expected.sum)
    return {};
  return Fault{Fault::Kind::kRewritten, expected.number, trail.last.number, {}};
}

std::string append_block(TrailPosition& last, std::string_view body) {
  std::string summed = std::to_string(last.number + 1) + " " + std::string(body);
  last = {last.number + 1, ledger::digest(summed, last.sum)};
  return hex(last.sum) + " " + summed + "\n";
}

std::string header_body(const std::string& router, const TrailPosition& last,
                        const std::string& why) {
  return Json({{"k", "file"}, {"router", router}, {"before", hex(last.sum)}, {"why", why}})
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

void TrailReader::add_fault(Fault::Kind kind, std::uint64_t from, std::uint64_t to) {
  trail_.faults.push_back({kind, from, to, file_});
}

void TrailReader::add_file(const std::string& name, std::string_view text) {
  using Kind = Fault::Kind;
  file_ = name;
  TrailPosition& last = trail_.last;
  auto first = consume_line(text);
  auto line = first ? parse(*first) : std::nullopt;
  auto begin = line ? parse_header(*line) : std::nullopt;
  if (!begin) {
    // The writer may have been killed at the first line. The next file shows which blocks are
    // missing.
    add_fault(first ? Kind::kCorrupt : Kind::kTorn, last.number + 1, last.number + 1);
    return;
  }
  bool begins = last.number == 0;
  if (begins) trail_.router = begin->router;
  if (begin->router != trail_.router || line->position.number <= last.number) {
    add_fault(Kind::kForeign, line->position.number, line->position.number);
    return;
  }
  if (!begins && line->position.number > last.number + 1)
    add_fault(Kind::kMissing, last.number + 1, line->position.number - 1);
  else if (!begins && begin->before != last.sum)
    add_fault(Kind::kForeign, line->position.number, line->position.number);
  while (true) {
    Json body = Json::parse(line->body, nullptr, false);
    last = line->position;
    trail_.blocks.push_back({last.number, last.sum, std::move(body)});
    // Skip to the next valid line. The content of a corrupt line is not trusted, but the sum in it
    // is the one that the next line was chained to.
    std::uint64_t before = last.sum, bad = 0;
    for (line.reset(); !line;) {
      auto next = consume_line(text);
      if (!next) {
        if (bad) add_fault(Kind::kCorrupt, last.number + 1, last.number + bad);
        if (!text.empty()) add_fault(Kind::kTorn, last.number + bad + 1, last.number + bad + 1);
        return;
      }
      auto read = parse(*next);
      if (read && sum_matches(*read, before) && read->position.number > last.number) {
        line = read;
      } else {
        ++bad;
        before = read ? read->position.sum : 0;
      }
    }
    std::uint64_t between = line->position.number - last.number - 1;
    if (bad || between)
      add_fault(between > bad ? Kind::kMissing : Kind::kCorrupt, last.number + 1,
                std::max(last.number + 1, line->position.number - 1));
  }
}

std::optional<TrailPosition> last_position_in(std::string_view text) {
  TrailReader reader;
  reader.add_file("", text);
  Trail trail = reader.finish();
  return trail.blocks.empty() ? std::nullopt : std::optional(trail.last);
}

}  // namespace violetusher::core::audit
