#include "bytes.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <vector>

namespace violetusher::core::ledger {
namespace {

/// The library's own DOM parser with a limit on nesting depth, since its reader recurses.
class DepthLimitedParser : public nlohmann::detail::json_sax_dom_parser<Json> {
  using Base = nlohmann::detail::json_sax_dom_parser<Json>;

 public:
  explicit DepthLimitedParser(Json& into) : Base(into, false) {}
  bool start_object(std::size_t size) {
    return ++depth_ <= kMaxNestingDepth && Base::start_object(size);
  }
  bool start_array(std::size_t size) {
    return ++depth_ <= kMaxNestingDepth && Base::start_array(size);
  }
  bool end_object() { return --depth_, Base::end_object(); }
  bool end_array() { return --depth_, Base::end_array(); }

 private:
  int depth_ = 0;
};

}  // namespace

std::string to_bytes(const Json& value) {
  std::string out;
  Json::to_cbor(value, out);
  return out;
}

std::optional<Json> from_bytes(std::string_view bytes) {
  if (bytes.empty() || bytes.size() > kMaxEncodedBytes) return {};
  Json value;
  try {
    DepthLimitedParser reader(value);
    if (!Json::sax_parse(bytes.begin(), bytes.end(), &reader, Json::input_format_t::cbor))
      return {};
  } catch (const std::exception&) {
    return {};  // a length beyond the available memory
  }
  return value;
}

Json binary(std::string_view bytes) {
  return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string bytes_of(const Json& value) {
  if (!value.is_binary()) return {};
  const auto& b = value.get_binary();
  return std::string(b.begin(), b.end());
}

std::uint64_t digest(std::string_view bytes, std::uint64_t before) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), before);
}

}  // namespace violetusher::core::ledger
