#include "command.hpp"

#include <cstdio>
#include <memory>
#include <stdexcept>

#include "kit/common/files.hpp"
#include "net/operator_file.hpp"
#include "show.hpp"

namespace violetusher::kit {
namespace {

constexpr int kWrongInput = 2;

struct Options {
  std::string first, second, json, html;
};

int losses(const Options& o) {
  std::vector<LossTable> tables;
  for (const std::string& path : {o.first, o.second}) {
    if (path.empty()) continue;
    std::string text, error = net::read_regular_file(path, text);
    try {
      if (error.empty()) tables.push_back(read_losses(text));
    } catch (const std::runtime_error& e) {
      error = e.what();
    }
    if (!error.empty()) {
      std::fprintf(stderr, "%s: %s\n", path.c_str(), error.c_str());
      return kWrongInput;
    }
  }
  std::string json = "[";
  for (const LossTable& t : tables) {
    std::printf("%s", loss_text(t).c_str());
    json += (json.size() > 1 ? ",\n" : "\n") + loss_json(t);
  }
  if (tables.size() == 2) std::printf("%s", loss_difference_text(tables[0], tables[1]).c_str());
  if ((o.json.empty() || write_whole(o.json, json + "\n]\n")) &&
      (o.html.empty() || write_whole(o.html, loss_page(tables))))
    return 0;
  std::fprintf(stderr, "violetusher-kit: a result could not be written\n");
  return kWrongInput;
}

}  // namespace

void add_losses(CLI::App& app, int& code) {
  auto o = std::make_shared<Options>();
  CLI::App* sub = app.add_subcommand(
      "losses", "Shows the worth lost in a rehearsal by cause, or compares two rehearsals");
  sub->add_option("first", o->first, "a result of rehearse --json")->required();
  sub->add_option("second", o->second, "another result, to compare");
  sub->add_option("--json", o->json, "write the tables as JSON");
  sub->add_option("--html", o->html, "write one self-contained page");
  sub->callback([o, &code] { code = losses(*o); });
}

}  // namespace violetusher::kit
