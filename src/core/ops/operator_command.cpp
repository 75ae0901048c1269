#include "operator_command.hpp"

#include <algorithm>
#include <cctype>

namespace violetusher::core::ops {
namespace {

std::string_view next_word(std::string_view& rest) {
  rest.remove_prefix(std::min(rest.find_first_not_of(" \t"), rest.size()));
  std::string_view word = rest.substr(0, rest.find_first_of(" \t"));
  rest.remove_prefix(word.size());
  return word;
}

}  // namespace

bool is_valid_id(std::string_view id) {
  return !id.empty() && id.size() <= kMaxIdBytes &&
         std::all_of(id.begin(), id.end(), [](unsigned char c) { return c > 32 && c < 127; });
}

std::optional<OperatorCommand> parse_command(std::string_view line, std::string& error) {
  std::string_view rest = line;
  std::string verb(next_word(rest));
  std::transform(verb.begin(), verb.end(), verb.begin(),
                 [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
  std::string_view id = next_word(rest);
  if (!next_word(rest).empty()) {
    error = "more words than a call has";
    return std::nullopt;
  }
  OperatorCommand call;
  if (verb == "HEALTH" || verb == "DUMP") {
    call.kind = verb == "DUMP" ? OperatorCommand::Kind::kDump : OperatorCommand::Kind::kHealth;
    if (id.empty()) return call;
    error = verb + " takes no id";
  } else if (verb == "OFFLINE" || verb == "ONLINE") {
    call.kind = verb == "ONLINE" ? OperatorCommand::Kind::kOnline : OperatorCommand::Kind::kOffline;
    call.id = id;
    if (is_valid_id(id)) return call;
    error = verb + " needs the id of a cache server";
  } else {
    error = "calls are HEALTH, DUMP, OFFLINE ID and ONLINE ID";
  }
  return std::nullopt;
}

}  // namespace violetusher::core::ops
