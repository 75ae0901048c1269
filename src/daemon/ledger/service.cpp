#include "service.hpp"

#include <signal.h>

#include <random>

#include "net/config.hpp"
#include "net/peer_transport.hpp"
#include "sqlite_storage.hpp"

namespace violetusher::ledger {

using core::ledger::Json;

namespace {

constexpr std::size_t kSummaryHolders = 2;  // if the router keeps an audit trail
constexpr net::Micros kTickInterval = 20'000;
constexpr net::Micros kVersionsInterval = 500'000;  // between two queries of the router's versions
constexpr char kBanPrefix[] = "out/";

std::map<std::string, std::string> addresses(const std::map<std::string, core::config::Peer>& peers,
                                             const std::string& name) {
  std::map<std::string, std::string> out;
  for (const auto& [peer, p] : peers)
    if (peer != name) out[peer] = p.address;
  return out;
}

}  // namespace

NodeSettings node_settings(const core::config::Ledger& l,
                           const std::map<std::string, core::config::Peer>& peers,
                           const std::string& name) {
  NodeSettings s;
  s.fleet = l.fleet;
  s.name = name;
  for (const auto& [peer, p] : peers) (peer == name ? s.zone : s.peers[peer]) = p.zone;
  s.may_vote = l.may_vote;
  s.voters = static_cast<std::size_t>(l.voters);
  s.followers = static_cast<std::size_t>(l.followers);
  s.replace_after = l.replace_after;
  s.timing.trust_after = l.trust_after;
  return s;
}

/// Everything that the ledger's thread owns.
class Service::Environment final : public Node::Environment {
 public:
  Environment(Service& service, const core::config::Model& model)
      : Environment(service, model.ledgers.begin()->second, model.peers, model.rollouts) {
    if (!model.audits.empty()) settings_.summary_holders = kSummaryHolders;
  }
  Environment(Service& service, const core::config::Ledger& settings,
              const std::map<std::string, core::config::Peer>& peers,
              const std::map<std::string, core::config::Rollout>& rollouts)
      : service_(service),
        io_(service.base_.get()),
        random_(std::random_device{}() * 0x100000001ull ^ std::random_device{}()),
        storage_(settings.folder),
        settings_(node_settings(settings, peers, service.name_)),
        peers_(
            io_, addresses(peers, service.name_),
            [this](const std::string& frame, std::uint64_t link) { node_->on_frame(frame, link); },
            [this] { return random_(); }),
        rollouts_(rollouts, service.name_, names(), rollouts_outside()),
        tick_alarm_(io_.alarm([this] { tick(); })) {
    std::string text = settings.listen, error = "no address";
    if (auto own = peers.find(service.name_); text.empty() && own != peers.end())
      text = own->second.address;
    auto address = net::parse_address(text, true);
    if (!address || !peers_.listen(*address, error))
      throw net::ConfigError("ledger: listen '" + text + "': " + error);
  }

  void start() {
    io_.update_time();
    rollouts_.reread();
    node_ = std::make_unique<Node>(storage_, settings_, *this);
    rollouts_.reread();
    tick();
  }
  net::SystemIo& io() { return io_; }
  Node& node() { return *node_; }
  Rollouts& rollouts() { return rollouts_; }
  void end() { node_.reset(); }

  Micros now() override { return io_.now(); }
  std::uint64_t random() override { return random_(); }
  void send(const std::string& name, std::string frame) override { peers_.send(name, frame); }
  void reply(std::uint64_t link, std::string frame) override { peers_.reply(link, frame); }
  void on_view(const View& view) override {
    rollouts_.on_view(view);
    std::set<std::string> out;
    const auto& values = view.state().values();
    for (auto it = values.lower_bound(std::string_view(kBanPrefix));
         it != values.end() && it->first.rfind(kBanPrefix, 0) == 0; ++it)
      out.insert(it->first.substr(sizeof kBanPrefix - 1));
    if (out == out_) return;
    out_ = out;
    service_.to_router_.post(
        [&service = service_, out = std::move(out)] { service.handler_.on_bans_changed(out); });
  }
  void log_event(const std::string& event, const std::string& text) override {
    service_.to_router_.post(
        [&service = service_, event, text] { service.handler_.log_event(event, text); });
  }

 private:
  void tick() {
    tick_alarm_->set(kTickInterval);
    node_->tick();
    rollouts_.tick();
    if (io_.now() < next_versions_at_) return;
    next_versions_at_ = io_.now() + kVersionsInterval;
    service_.to_router_.post([this] {
      std::string trail = service_.handler_.trail ? service_.handler_.trail() : "";
      service_.to_ledger_->post([this, acts = service_.handler_.versions(), trail] {
        if (!node_) return;
        node_->set_status_field("acts", acts);
        if (!trail.empty()) node_->set_status_field("trail", trail);
      });
    });
  }
  std::vector<std::string> names() const {
    std::vector<std::string> all{settings_.name};
    for (const auto& [peer, zone] : settings_.peers) all.push_back(peer);
    return all;
  }
  Rollouts::Environment rollouts_outside() {
    return {[this] { return io_.now(); },
            [this] { return random_(); },
            [this] { return node_->recent(); },
            [this](RolloutFile& file, Rollouts::Applied applied) {
              service_.to_router_.post([this, &file, applied = std::move(applied)] {
                std::string why = service_.handler_.apply_staged(file);
                service_.to_ledger_->post([this, applied, why] {
                  io_.update_time();
                  applied(why);
                });
              });
            },
            [this](Json report) {
              if (node_) node_->set_status_field("rollouts", std::move(report));
            },
            [this](const std::string& event, const std::string& text) { log_event(event, text); }};
  }

  Service& service_;
  net::SystemIo io_;
  std::mt19937_64 random_;
  SqliteStorage storage_;
  NodeSettings settings_;
  net::PeerTransport peers_;
  Rollouts rollouts_;
  std::unique_ptr<net::Alarm> tick_alarm_;
  std::unique_ptr<Node> node_;
  std::set<std::string> out_;
  net::Micros next_versions_at_ = 0;
};

Service::Service(event_base* base, const core::config::Model& model, const std::string& name,
                 Handler handler)
    : handler_(std::move(handler)), name_(name), to_router_(base), base_(event_base_new()) {
  if (!base_) throw std::runtime_error("no event base");
  to_ledger_ = std::make_unique<net::LoopTaskQueue>(base_.get());
  env_ = std::make_unique<Environment>(*this, model);
  // Signals are handled by the router's thread.
  sigset_t all, before;
  sigfillset(&all);
  pthread_sigmask(SIG_BLOCK, &all, &before);
  thread_ = std::thread([this] { run(); });
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

Service::~Service() {
  to_ledger_->post([this] { stopping_ = true; });
  thread_.join();
}

void Service::run() {
  env_->start();
  while (!stopping_) env_->io().run_once();
  env_->end();
}

void Service::set_banned(const std::string& id, bool out, std::function<void(std::string)> done) {
  to_ledger_->post([this, id, out, done = std::move(done)] {
    env_->io().update_time();
    Call call;
    call.kind = out ? Call::Kind::kPut : Call::Kind::kErase;
    call.name = kBanPrefix + id;
    call.text = "out";
    call.by = "operator at " + name_;
    env_->node().call(
        std::move(call), [this, done](std::optional<Outcome> outcome, const std::string& why) {
          std::string error = !outcome ? why
                              : outcome->status == Outcome::Status::kDone
                                  ? ""
                                  : std::string(core::ledger::name_of(outcome->status));
          to_router_.post([done, error] { done(error); });
        });
  });
}

void Service::transfer_leadership() {
  to_ledger_->post([this] { env_->node().transfer_leadership(); });
}

void Service::reread_rollout_files() {
  to_ledger_->post([this] { env_->rollouts().reread(); });
}

}  // namespace violetusher::ledger
