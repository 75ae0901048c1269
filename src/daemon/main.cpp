// violetusher: one router. Reads what it is told, starts, and ends on SIGTERM. SIGHUP makes it read
// its configuration, and the operator file where one is in use, again.
#include <CLI/CLI.hpp>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <map>
#include <memory>
#include <vector>

#include "net/flight_file.hpp"
#include "net/operator_file.hpp"
#include "net/router.hpp"
#include "net/system_io.hpp"
#ifdef VIOLETUSHER_LEDGER
#include "daemon/audit/trail_files.hpp"
#include "daemon/crossing.hpp"
#include "daemon/ledger/service.hpp"
#endif

namespace {

using namespace violetusher::net;

constexpr int kWrongInput = 2;

int complain(const std::string& what) {
  std::fprintf(stderr, "violetusher: %s\n", what.c_str());
  return 1;
}

int usage(const std::string& what) {
  std::fprintf(stderr, "violetusher: %s\nRun with --help for more information.\n", what.c_str());
  return kWrongInput;
}

/// Reads everything, says what is wrong, and starts nothing.
int check(const std::string& operator_file) {
  try {
    bool has_config = std::getenv("NODE_CONFIG") != nullptr;
    Config config;
    if (has_config) config = load_config();
    if (!operator_file.empty()) load_operator_file(operator_file, has_config ? &config : nullptr);
    if (!has_config && operator_file.empty())
      return usage("--check: neither NODE_CONFIG nor --operator");
    std::fprintf(stderr, "violetusher: good\n");
    return 0;
  } catch (const ConfigError& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return kWrongInput;
  }
}

/// One router and what signals do to it.
class Daemon {
 public:
  Daemon(event_base* base, const Config& config, const std::string& operator_file)
      : io_(base),
        log_(sink_),
        name_(config.name),
        operator_file_(operator_file),
        router_(io_, config, log_) {
    if (operator_file.empty()) return;
    auto model = load_operator_file(operator_file, &config);
    router_.listen_besides(model);
    recorders_ = model.recorders;
    hold_together(base, model);
    keep_trail(base, model);
    if (!model.recorders.empty()) record(model.recorders.begin()->second);
    use(std::move(model));
  }

  /// Runs until a signal ends it. The exit code.
  int run(event_base* base, const std::string& listen) {
    std::string error;
    if (!router_.listen(error)) {
      say(Log::Level::kError, "listen-failed", "listen " + listen + ": " + error);
      return 1;
    }
    on(base, SIGTERM, [](evutil_socket_t, short, void* d) { self(d).stop(); });
    on(base, SIGINT, [](evutil_socket_t, short, void* d) { self(d).stop(); });
    on(base, SIGHUP, [](evutil_socket_t, short, void* d) { self(d).reload(); });
    on(base, SIGUSR2, [](evutil_socket_t, short, void* d) { self(d).copy(); });
    std::string host = listen.substr(0, listen.rfind(':'));
    say(Log::Level::kInfo, "listening",
        name_ + " listens on " + host + ":" + std::to_string(router_.port()));
    router_.run();
    return 0;
  }

 private:
  static Daemon& self(void* daemon) { return *static_cast<Daemon*>(daemon); }

  void on(event_base* base, int signal, event_callback_fn call) {
    signals_.emplace_back(evsignal_new(base, signal, call, this));
    event_add(signals_.back().get(), nullptr);
  }

  void stop() {
#ifdef VIOLETUSHER_LEDGER
    if (ledger_) ledger_->leave();
#endif
    router_.stop();
  }

  /// Where the operator file asks for it: what is promised here holds at every router.
  void hold_together(event_base* base, const violetusher::core::config::Model& model) {
    if (model.ledgers.empty()) return;
#ifdef VIOLETUSHER_LEDGER
    std::signal(SIGXFSZ, SIG_IGN);  // a disk that takes no more is told to the ledger alone
    read_settings();
    violetusher::ledger::Service::Handler handler;
    handler.on_servers_out = [this](const std::set<std::string>& out) { router_.hold_out(out); };
    handler.note = [this](const std::string& event, const std::string& text) {
      io_.renew();
      say(Log::Level::kInfo, event, text);
    };
    handler.versions = [this] { return versions(); };
    handler.trail = [this] { return trail_ ? trail_->last() : std::string(); };
    handler.try_on = [this](violetusher::ledger::RolledFile& file) { return try_on(file); };
    ledger_ =
        std::make_unique<violetusher::ledger::Service>(base, model, name_, std::move(handler));
    router_.use(*ledger_);
#else
    (void)base;
    throw ConfigError(operator_file_ + ": 'ledger': this program was built without it");
#endif
  }

  /// Where the operator file asks for it: what is done here is kept on disk, with what it was done
  /// on.
  void keep_trail(event_base* base, const violetusher::core::config::Model& model) {
    if (model.audits.empty()) return;
#ifdef VIOLETUSHER_LEDGER
    std::signal(SIGXFSZ, SIG_IGN);
    read_settings();
    read_operator_file();
    const violetusher::core::config::Audit& audit = model.audits.begin()->second;
    to_router_ = std::make_unique<Crossing>(base);
    trail_ = std::make_unique<violetusher::audit::TrailFiles>(
        violetusher::audit::TrailSettings{audit.folder, name_, audit.size, audit.keep},
        [this](const std::string& text) {
          to_router_->post([this, text] {
            io_.renew();
            say(Log::Level::kWarn, "audit-trail", "audit: " + text);
          });
        });
    auto acts_on = [this] {
      auto all = versions();
      all["operator"] = operator_digest_;
      return all;
    };
    account_ =
        std::make_unique<violetusher::core::audit::Account>(acts_on, [this](std::string body) {
          if (trail_->gap_since_asked()) account_->say_all();
          trail_->write(std::move(body));
        });
    router_.keep_account(*account_, audit.every);
#else
    (void)base;
    throw ConfigError(operator_file_ + ": 'audit': this program was built without it");
#endif
  }

  void say(Log::Level level, std::string_view event, const std::string& text) {
    log_.write(io_.now(), level, event, text, {{"router", std::string_view(name_)}});
  }

  void record(const violetusher::core::config::Recorder& recorder) {
    flight_ = std::make_unique<FlightFile>(recorder.file, static_cast<std::size_t>(recorder.size),
                                           name_, io_.now());
    router_.record(&flight_->ring(), [this](const char* what) {
      if (flight_->copy(what, io_.now(), false))
        say(Log::Level::kWarn, "recorder-alert",
            std::string("recorder: ") + what + ": a copy was put beside the recording");
    });
  }

  void use(violetusher::core::config::Model model) {
    violetusher::core::config::Log log;
    if (!model.logs.empty()) log = model.logs.begin()->second;
    using violetusher::core::log::Format;
    log_.set(log.format == "json"     ? Format::kJson
             : log.format == "logfmt" ? Format::kLogfmt
                                      : Format::kText,
             log.level == "error"  ? Log::Level::kError
             : log.level == "warn" ? Log::Level::kWarn
                                   : Log::Level::kInfo);
    model_ = model;
    router_.operate(std::move(model));
  }

  /// Never ends the router: what goes wrong is logged, and all goes on as before.
  void reload() {
    router_.note_reload(take_over());
#ifdef VIOLETUSHER_LEDGER
    if (ledger_) ledger_->look_again();
    act_on_files();
#endif
  }

#ifdef VIOLETUSHER_LEDGER
  /// What the router acts on, by kind: a digest or a name each. Without the operator file, which
  /// names each router's own folders.
  std::map<std::string, std::string> versions() const {
    std::string out;
    for (const std::string& id : router_.servers_out()) out += id + "\n";
    return {{"program", VIOLETUSHER_VERSION},
            {"settings", settings_digest_},
            {"list", router_.list_version()},
            {"out", out.empty() ? "none" : violetusher::core::ledger::label(out)}};
  }

  /// The files have been read again, and are in use.
  void act_on_files() {
    read_settings();
    read_operator_file();
    router_.acts_anew();
  }

  /// The text itself; what it includes is not looked at.
  void read_operator_file() {
    std::string text;
    if (read_plain_file(operator_file_, text).empty())
      operator_digest_ = violetusher::core::ledger::label(text);
  }

  /// Of the file that the settings were taken from; for the audit of the fleet.
  void read_settings() {
    const char* path = std::getenv("NODE_CONFIG");
    std::string text;
    if (!path || !read_plain_file(path, text).empty()) return;
    using violetusher::core::ledger::Json;
    Json all = Json::parse(text, nullptr, false);
    if (!all.is_object() || !all.contains("settings") || !all["settings"].is_object()) return;
    Json settings = all["settings"];
    settings.erase("Az");  // each zone's own
    settings_digest_ = violetusher::core::ledger::label(settings.dump());
  }

  /// What is staged beside a file is read as if it were in its place; only what this router can act
  /// on gets there. Why it can't; empty where it now does.
  std::string try_on(violetusher::ledger::RolledFile& file) {
    io_.renew();
    try {
      namespace fs = std::filesystem;
      const char* settings = std::getenv("NODE_CONFIG");
      bool is_settings = settings && fs::path(settings).lexically_normal() ==
                                         fs::path(file.path()).lexically_normal();
      Config config = reload_config(router_.config(), is_settings ? file.staged() : "");
      auto model = load_operator_file(operator_file_, &config, {file.path(), file.staged()});
      if (model.ledgers != model_.ledgers || model.peers != model_.peers ||
          model.rollouts != model_.rollouts)
        return "it changes 'ledger', 'peer' or 'rollout', which are each router's own";
    } catch (const std::exception& e) {
      return e.what();
    }
    if (!file.swap()) return file.path() + ": " + std::strerror(errno);
    bool taken = take_over();
    router_.note_reload(taken);
    if (!taken) file.undo();
    if (taken) act_on_files();
    return taken ? "" : "the router did not take it over; its log says why";
  }
#endif

  bool take_over() {
    try {
      Config config = reload_config(router_.config());
      // Both are read before either is used: a bad one changes nothing.
      if (operator_file_.empty()) return router_.reload(config);
      auto model = load_operator_file(operator_file_, &config);
      if (model.ledgers != model_.ledgers || model.peers != model_.peers ||
          model.rollouts != model_.rollouts)
        say(Log::Level::kWarn, "reload-needs-restart", "reload: ledger differs: needs a restart");
      if (model.audits != model_.audits)
        say(Log::Level::kWarn, "reload-needs-restart", "reload: audit differs: needs a restart");
      if (model.recorders != recorders_)
        say(Log::Level::kWarn, "reload-needs-restart", "reload: recorder differs: needs a restart");
      router_.listen_besides(model);
      if (!router_.reload(config)) {
        router_.listen_besides(model_);
        return false;
      }
      use(std::move(model));
      return true;
    } catch (const std::exception& e) {
      say(Log::Level::kError, "reload-refused",
          std::string("reload: ") + e.what() + "; the old configuration is kept");
      return false;
    }
  }

  void copy() {
    if (!flight_) {
      say(Log::Level::kWarn, "recorder-off",
          "SIGUSR2: nothing is recorded; see 'recorder' in the operator file");
    } else if (flight_->copy("asked", io_.now(), true)) {
      say(Log::Level::kInfo, "recorder-copied", "recorder: a copy was put beside the recording");
    } else {
      say(Log::Level::kError, "recorder-copy-failed",
          "recorder: the recording could not be copied");
    }
  }

  SystemIo io_;
  DescriptorSink sink_;
  Log log_;
  std::string name_, operator_file_;
  std::map<std::string, violetusher::core::config::Recorder> recorders_;  // as at the start
  violetusher::core::config::Model model_;                                // in use
  std::unique_ptr<FlightFile> flight_;
#ifdef VIOLETUSHER_LEDGER
  std::unique_ptr<Crossing> to_router_;
  std::unique_ptr<violetusher::audit::TrailFiles> trail_;
  std::unique_ptr<violetusher::core::audit::Account> account_;
#endif
  Router router_;
#ifdef VIOLETUSHER_LEDGER
  std::unique_ptr<violetusher::ledger::Service> ledger_;
  std::string settings_digest_, operator_digest_;
#endif
  std::vector<EventPtr> signals_;
};

}  // namespace

int main(int argc, char** argv) {
  std::string operator_file;
  bool only_check = false;
  if (argc > 1) {  // the platform gives none
    CLI::App app{"A memcache-protocol router; NODE_CONFIG names its configuration.", "violetusher"};
    app.add_option("--operator", operator_file, "Serve by this operator file")->type_name("FILE");
    app.add_flag("--check", only_check, "Read everything, say what is wrong, and end");
    app.set_version_flag("--version", VIOLETUSHER_VERSION);
    try {
      app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
      return app.exit(e) == 0 ? 0 : kWrongInput;
    }
  }
  if (only_check) return check(operator_file);
  std::signal(SIGPIPE, SIG_IGN);
  // Until there is something to reload or to copy; of others no meaning is known here.
  for (int one : {SIGHUP, SIGUSR1, SIGUSR2}) std::signal(one, SIG_IGN);
  try {
    Config config = load_config();
    if (!parse_address(config.discovery))
      return complain("discovery: no address: '" + config.discovery + "'");
    std::unique_ptr<event_config, void (*)(event_config*)> options(event_config_new(),
                                                                   event_config_free);
    event_config_set_flag(options.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
    EventBasePtr base(event_base_new_with_config(options.get()));
    if (!base) return complain("no event base");
    return Daemon(base.get(), config, operator_file).run(base.get(), config.listen);
  } catch (const std::exception& e) {
    return complain(e.what());
  }
}
