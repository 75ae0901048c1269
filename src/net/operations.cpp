#include "operations.hpp"

#include <algorithm>
#include <vector>

#include "core/ops/call.hpp"

namespace violetusher::net {
namespace {

// How often the bans are looked at that another process of this router may have written: a ban
// binds from the yes, and is due within a second of the call.
constexpr Micros kLook = kSecond / 10;

/// Of the folder that outlives the process and the router's name, as it is the same after a
/// restart.
std::string ban_path(const Config& config) {
  if (config.operator_listen.empty() || config.scratch.empty()) return {};
  std::string name = config.name;
  std::replace(name.begin(), name.end(), '/', '_');
  return config.scratch + "/violetusher-" + name + ".bans";
}

}  // namespace

Operations::Operations(Io& io, const Config& config, const core::ops::Figures& figures,
                       Handler& handler, Log& log)
    : io_(io),
      config_(config),
      figures_(figures),
      handler_(handler),
      log_(log),
      hosts_(config.known),
      bans_(ban_path(config)),
      side_(io, [this](std::string_view line,
                       OperatorSide::Later later) { return answer(line, std::move(later)); }),
      look_alarm_(io.alarm([this] { look(); })) {}

void Operations::start() {
  if (!config_.operator_listen.empty()) look();
}

void Operations::look() {
  look_alarm_->set(kLook);
  sync();
  if (side_.listening()) return;
  auto address = parse_address(config_.operator_listen, true);
  std::string error = "no address";
  if (address && side_.listen(*address, error)) return;
  log_.write(io_.now(), Log::Level::kError, "operator-listen-failed",
             "operator address " + config_.operator_listen + ": " + error + "; tried again",
             {{"address", std::string_view(config_.operator_listen)}});
}

/// Makes what is out here what the file says.
void Operations::sync() {
  if (!promises_ && bans_.poll()) follow(bans_.out());
}

void Operations::hold(const std::set<std::string>& out) {
  if (promises_) follow(out);
}

void Operations::follow(const std::set<std::string>& out) {
  std::vector<std::string> back;
  for (const std::string& id : hosts_.all_out())
    if (!out.count(id)) back.push_back(id);
  for (const std::string& id : back) handler_.on_out_or_back(hosts_.set_out(id, false));
  for (const std::string& id : out)
    if (!hosts_.out(id)) handler_.on_out_or_back(hosts_.set_out(id, true));
}

std::optional<std::string> Operations::answer(std::string_view line, OperatorSide::Later later) {
  using Kind = core::ops::Call::Kind;
  std::string error;
  auto call = core::ops::parse_call(line, error);
  if (!call) return "FAILURE " + error + "\r\n";
  bool out = call->kind == Kind::kOffline;
  if (promises_ && (out || call->kind == Kind::kOnline)) {
    // Put back it may be without being listed here: another router took it out.
    if (out && !hosts_.known(call->id)) return "FAILURE no such cache server\r\n";
    promises_->put_out(call->id, out, [later = std::move(later)](std::string why) {
      later(why.empty() ? "SUCCESS\r\n" : "FAILURE " + why + "\r\n");
    });
    return std::nullopt;
  }
  switch (call->kind) {
    case Kind::kHealth:
      return "SUCCESS\r\n";
    case Kind::kDump:
      return figures_.json(handler_.standing()) + "\r\nEOT\r\n";
    case Kind::kOffline:
      return put(call->id, true);
    default:
      return put(call->id, false);
  }
}

std::string Operations::put(const std::string& id, bool out) {
  sync();
  if (!hosts_.known(id)) return "FAILURE no such cache server\r\n";
  if (hosts_.out(id) == out) return "SUCCESS\r\n";
  if (out && hosts_.all_out().size() >= BanFile::kMostOut)
    return "FAILURE too many cache servers are out\r\n";
  if (bans_.append(id, out)) {
    sync();
  } else {
    log_.write(io_.now(), Log::Level::kWarn, "ban-not-kept",
               "operator: that " + id + (out ? " is out" : " is back") +
                   " could not be written down; the next process will not know",
               {{"server", std::string_view(id)}});
  }
  if (hosts_.out(id) != out) handler_.on_out_or_back(hosts_.set_out(id, out));
  log_.write(io_.now(), Log::Level::kInfo, out ? "server-out" : "server-back",
             "operator: " + id + (out ? " taken out" : " put back"),
             {{"server", std::string_view(id)}});
  return "SUCCESS\r\n";
}

}  // namespace violetusher::net
