#include "last_known.hpp"

namespace violetusher::kit {

using core::ledger::Json;

AllKnown last_known(const std::vector<Said>& all) {
  AllKnown out;
  for (const Said& said : all) {
    if (!said.status || !said.status->contains("witness")) continue;
    for (const char* life : {"now", "former"}) {
      const Json lives = (*said.status)["witness"].value(life, Json::object());
      for (const auto& [router, held] : lives.items()) {
        LastKnown known{said.router, held.value("age_us", std::int64_t{0}),
                        held.value("said", Json::object())};
        auto [at, fresh] = out.try_emplace({router, std::string(life) == "former"}, known);
        if (known.age < at->second.age) at->second = std::move(known);
      }
    }
  }
  return out;
}

}  // namespace violetusher::kit
