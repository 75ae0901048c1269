#include "client.hpp"

#include "node.hpp"

namespace violetusher::ledger {

using core::ledger::Json;

std::string client_frame(const std::string& fleet, const std::string& kind, const Json& body) {
  return core::ledger::to_bytes({{"v", kFrameVersion}, {"f", fleet}, {"k", kind}, {"d", body}});
}

std::optional<ClientAnswer> read_answer(const std::string& frame) {
  auto v = core::ledger::from_bytes(frame);
  if (!v || !v->is_object() || !v->contains("k") || !v->contains("d")) return {};
  if (!(*v)["k"].is_string() || !(*v)["d"].is_object()) return {};
  return ClientAnswer{(*v)["k"].get<std::string>(), (*v)["d"]};
}

}  // namespace violetusher::ledger
