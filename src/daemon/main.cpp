// The daemon violetusher: one router. Reads its configuration, serves, and ends on SIGTERM. SIGHUP
// reloads the configuration and the operator file, if there is one. SIGUSR2 copies the flight
// recording.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <system_error>
#include <thread>
#include <utility>

#include "core/mutants.hpp"
#include "daemon/signals.hpp"
#include "net/flight_file.hpp"
#include "net/heap.hpp"
#include "net/operator_file.hpp"
#include "net/router.hpp"
#include "net/system_io.hpp"
#ifdef VIOLETUSHER_LEDGER
#include "daemon/audit/trail_files.hpp"
#include "daemon/ledger/service.hpp"
#include "daemon/loop_task_queue.hpp"
#endif

namespace {

using namespace violetusher::net;

constexpr int kExitInvalidInput = 2;
// During startup, how long calls that fail transiently are retried.
constexpr Micros kReadRetryTimeout = 8 * kSecond, kListenRetryTimeout = 3 * kSecond;
constexpr Micros kBansRetryTimeout = 5 * kSecond;
constexpr Micros kRetryInterval = 10 * kMillisecond;
constexpr Micros kMinReloadRetryDelay = 20 * kMillisecond, kMaxReloadRetryDelay = kSecond / 2;

/// Repeats the call until it returns true, for `timeout` at most.
template <typename Call>
bool retry_until(Micros timeout, Call&& call) {
  for (Micros waited = 0;; waited += kRetryInterval) {
    if (call()) return true;
    if (waited >= timeout) return false;
    std::this_thread::sleep_for(std::chrono::microseconds(kRetryInterval));
  }
}

/// Repeats `read` while it throws UnreadableError because of a transient failure.
template <typename Read>
void retry_while_unreadable(Read&& read) {
  bool done = retry_until(kReadRetryTimeout, [&] {
    try {
      read();
    } catch (const UnreadableError& e) {
      if (e.is_transient) return false;
      throw;
    } catch (const std::system_error& e) {  // no thread or descriptor available
      if (classify_error(e.code().value()) == CallResult::kPermanentError) throw;
      return false;
    }
    return true;
  });
  if (!done) read();
}

int fail(const std::string& what) {
  std::fprintf(stderr, "violetusher: %s\n", what.c_str());
  return 1;
}

int usage(const std::string& what) {
  std::fprintf(stderr, "violetusher: %s\nRun with --help for more information.\n", what.c_str());
  return kExitInvalidInput;
}

/// Implements --check: reads all files, reports errors, and starts nothing.
int check(const std::string& operator_file) {
  try {
    bool has_config = std::getenv("NODE_CONFIG") != nullptr;
    Config config;
    if (has_config) config = load_config();
    if (!operator_file.empty()) load_operator_file(operator_file, has_config ? &config : nullptr);
    if (!has_config && operator_file.empty())
      return usage("--check: neither NODE_CONFIG nor --operator is given");
    std::fprintf(stderr, "violetusher: good\n");
    return 0;
  } catch (const ConfigError& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return kExitInvalidInput;
  }
}

/// One router process: the router, its optional parts, and the handling of signals.
class Daemon {
 public:
  Daemon(event_base* base, const Config& config, const std::string& operator_file)
      : io_(base),
        log_(sink_),
        name_(config.name),
        operator_file_(operator_file),
        router_(io_, config, log_),
        reload_alarm_(io_.alarm([this] { try_reload(); })) {
    if (operator_file.empty()) return;
    auto model = load_operator_file(operator_file, &config);
    router_.update_listeners(model);
    initial_recorders_ = model.recorders;
    start_ledger(base, model);
    start_audit_trail(base, model);
    if (!model.recorders.empty()) start_recorder(model.recorders.begin()->second);
    apply_model(std::move(model));
  }

  /// Runs until a signal ends it; returns the exit code.
  int run(const std::string& listen) {
    // Without the bans the router would send requests to banned servers.
    if (!retry_until(kBansRetryTimeout, [this] { return may_serve(); }))
      log_event(Log::Level::kError, "bans-unread",
                "operator: can't read the ban log; serving without it");
    for (int number : {SIGTERM, SIGINT, SIGHUP, SIGUSR2}) violetusher::capture_signal(number);
    router_.on_each_iteration([this] { handle_signals(); });
    if (!router_.await_host_list()) return 0;
    std::string error;
    if (!retry_until(kListenRetryTimeout, [&] { return router_.listen(error); })) {
      log_event(Log::Level::kError, "listen-failed", "listen " + listen + ": " + error);
      return 1;
    }
    std::string host = listen.substr(0, listen.rfind(':'));
    log_event(Log::Level::kInfo, "listening",
              name_ + " listens on " + host + ":" + std::to_string(router_.port()));
    log_process("process-serving", "takes clients");
    router_.run();
    return 0;
  }

 private:
  bool may_serve() {
    io_.update_time();
    return router_.may_serve();
  }

  void handle_signals() {
    if (violetusher::consume_signal(SIGHUP)) reload();
    if (violetusher::consume_signal(SIGUSR2)) copy_recording();
    bool term = violetusher::consume_signal(SIGTERM),
         interrupt = violetusher::consume_signal(SIGINT);
    if (term || interrupt) stop();
  }

  /// Two processes of one router may write to the same log.
  void log_process(std::string_view event, const std::string& what) {
    std::string version = router_.list_version();
    auto process = static_cast<std::int64_t>(::getpid());
    std::int64_t age = router_.list_age() / kMillisecond;
    log_.write(io_.now(), Log::Level::kInfo, event,
               name_ + ": process " + std::to_string(process) + " " + what + ", list " + version +
                   " confirmed " + std::to_string(age) + " ms ago",
               {{"router", std::string_view(name_)},
                {"process", process},
                {"list", std::string_view(version)},
                {"list_age_ms", age}});
  }

  void stop() {
    if (!std::exchange(stopping_, true)) log_process("process-stopping", "stops");
#ifdef VIOLETUSHER_LEDGER
    if (ledger_) ledger_->transfer_leadership();
#endif
    router_.stop();
  }

  /// If the operator file configures a ledger: joins it, so that bans hold at every router.
  void start_ledger(event_base* base, const violetusher::core::config::Model& model) {
    if (model.ledgers.empty()) return;
#ifdef VIOLETUSHER_LEDGER
    std::signal(SIGXFSZ, SIG_IGN);  // a full disk must surface as an error of the ledger
    update_settings_digest();
    violetusher::ledger::Service::Handler handler;
    handler.on_bans_changed = [this](const std::set<std::string>& out) { router_.set_bans(out); };
    handler.log_event = [this](const std::string& event, const std::string& text) {
      io_.update_time();
      log_event(Log::Level::kInfo, event, text);
    };
    handler.versions = [this] { return versions(); };
    handler.trail = [this] { return trail_ ? trail_->last_position() : std::string(); };
    handler.apply_staged = [this](violetusher::ledger::RolloutFile& file) {
      return apply_staged_file(file);
    };
    ledger_ =
        std::make_unique<violetusher::ledger::Service>(base, model, name_, std::move(handler));
    router_.use(*ledger_);
#else
    (void)base;
    throw ConfigError(operator_file_ + ": 'ledger': not supported by this build");
#endif
  }

  /// If the operator file configures an audit: records on disk what this router does, and which
  /// configuration and data it acts on.
  void start_audit_trail(event_base* base, const violetusher::core::config::Model& model) {
    if (model.audits.empty()) return;
#ifdef VIOLETUSHER_LEDGER
    std::signal(SIGXFSZ, SIG_IGN);
    update_settings_digest();
    update_operator_digest();
    const violetusher::core::config::Audit& audit = model.audits.begin()->second;
    router_tasks_ = std::make_unique<LoopTaskQueue>(base);
    trail_ = std::make_unique<violetusher::audit::TrailFiles>(
        violetusher::audit::TrailSettings{audit.folder, name_, audit.size, audit.keep},
        [this](const std::string& text) {
          router_tasks_->post([this, text] {
            io_.update_time();
            log_event(Log::Level::kWarn, "audit-trail", "audit: " + text);
          });
        });
    auto serving_versions = [this] {
      auto all = versions();
      all["operator"] = operator_digest_;
      return all;
    };
    activity_recorder_ = std::make_unique<violetusher::core::audit::ActivityRecorder>(
        serving_versions, [this](std::string body) {
          if (trail_->consume_gap()) activity_recorder_->write_full_view();
          trail_->write(std::move(body));
        });
    router_.attach_activity_recorder(*activity_recorder_, audit.every);
#else
    (void)base;
    throw ConfigError(operator_file_ + ": 'audit': not supported by this build");
#endif
  }

  void log_event(Log::Level level, std::string_view event, const std::string& text) {
    log_.write(io_.now(), level, event, text, {{"router", std::string_view(name_)}});
  }

  void start_recorder(const violetusher::core::config::Recorder& recorder) {
    flight_ = std::make_unique<FlightFile>(recorder.file, static_cast<std::size_t>(recorder.size),
                                           name_, io_.now());
    router_.record(&flight_->ring(), [this](const char* what) {
      if (flight_->copy(what, io_.now(), false))
        log_event(Log::Level::kWarn, "recorder-alert",
                  std::string("recorder: ") + what + ": a copy was put beside the recording");
    });
  }

  void apply_model(violetusher::core::config::Model model) {
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
    router_.apply_model(std::move(model));
  }

  /// Never ends the router: errors are logged and the old configuration stays. Unreadable files are
  /// retried until they can be read, since their content may already be in effect elsewhere.
  void reload() {
    reload_retry_delay_ = 0;
    try_reload();
  }

  void try_reload() {
    ReloadResult result = apply_files();
    bool mutant = violetusher::core::mutant(violetusher::core::Mutant::kReloadNotRetried);
    if (result == ReloadResult::kUnreadable && !mutant) {
      reload_retry_delay_ =
          std::clamp(2 * reload_retry_delay_, kMinReloadRetryDelay, kMaxReloadRetryDelay);
      reload_alarm_->set(reload_retry_delay_);
      return;
    }
    reload_alarm_->clear();
    reload_retry_delay_ = 0;
    router_.record_reload(result == ReloadResult::kApplied);
#ifdef VIOLETUSHER_LEDGER
    if (ledger_) ledger_->reread_rollout_files();
    on_files_applied();
#endif
  }

#ifdef VIOLETUSHER_LEDGER
  /// What the router acts on, by kind: a digest or a version each. The operator file is left out:
  /// it names directories of this router only.
  std::map<std::string, std::string> versions() const {
    std::string out;
    for (const std::string& id : router_.banned_servers()) out += id + "\n";
    return {{"program", VIOLETUSHER_VERSION},
            {"settings", settings_digest_},
            {"list", router_.list_version()},
            {"out", out.empty() ? "none" : violetusher::core::ledger::label(out)}};
  }

  /// Called after reloaded files have been put to use.
  void on_files_applied() {
    update_settings_digest();
    update_operator_digest();
    router_.record_serving_change();
  }

  /// Covers the text of the file itself, not its includes.
  void update_operator_digest() {
    std::string text;
    if (read_regular_file(operator_file_, text).empty())
      operator_digest_ = violetusher::core::ledger::label(text);
  }

  /// Digests the settings in the configuration file, for the fleet's audit.
  void update_settings_digest() {
    const char* path = std::getenv("NODE_CONFIG");
    std::string text;
    if (!path || !read_regular_file(path, text).empty()) return;
    using violetusher::core::ledger::Json;
    Json all = Json::parse(text, nullptr, false);
    if (!all.is_object() || !all.contains("settings") || !all["settings"].is_object()) return;
    Json settings = all["settings"];
    settings.erase("Az");  // differs between zones
    settings_digest_ = violetusher::core::ledger::label(settings.dump());
  }

  /// Checks a staged file as if it were in place, and moves it there only if this router can use
  /// it. Returns the error, or an empty string.
  std::string apply_staged_file(violetusher::ledger::RolloutFile& file) {
    io_.update_time();
    try {
      namespace fs = std::filesystem;
      const char* settings = std::getenv("NODE_CONFIG");
      bool is_settings = settings && fs::path(settings).lexically_normal() ==
                                         fs::path(file.path()).lexically_normal();
      Config config = reload_config(router_.config(), is_settings ? file.staged() : "");
      auto model = load_operator_file(operator_file_, &config, {file.path(), file.staged()});
      if (model.ledgers != model_.ledgers || model.peers != model_.peers ||
          model.rollouts != model_.rollouts)
        return "'ledger', 'peer' and 'rollout' can't be changed by a rollout";
    } catch (const std::exception& e) {
      return e.what();
    }
    if (!file.swap()) return file.path() + ": " + std::strerror(errno);
    bool applied = apply_files() == ReloadResult::kApplied;
    router_.record_reload(applied);
    if (!applied) file.undo();
    if (applied) on_files_applied();
    return applied ? "" : "the router did not apply the file; see its log";
  }
#endif

  enum class ReloadResult { kApplied, kRejected, kUnreadable };

  ReloadResult apply_files() {
    try {
      Config config = reload_config(router_.config());
      // Both files are read before either is applied, so that an invalid one changes nothing.
      if (operator_file_.empty())
        return router_.reload(config) ? ReloadResult::kApplied : ReloadResult::kRejected;
      auto model = load_operator_file(operator_file_, &config);
      if (model.ledgers != model_.ledgers || model.peers != model_.peers ||
          model.rollouts != model_.rollouts)
        log_event(Log::Level::kWarn, "reload-needs-restart",
                  "reload: a changed 'ledger' needs a restart");
      if (model.audits != model_.audits)
        log_event(Log::Level::kWarn, "reload-needs-restart",
                  "reload: a changed 'audit' needs a restart");
      if (model.recorders != initial_recorders_)
        log_event(Log::Level::kWarn, "reload-needs-restart",
                  "reload: a changed 'recorder' needs a restart");
      router_.update_listeners(model);
      if (!router_.reload(config)) {
        router_.update_listeners(model_);
        return ReloadResult::kRejected;
      }
      apply_model(std::move(model));
      return ReloadResult::kApplied;
    } catch (const UnreadableError& e) {
      if (reload_retry_delay_ == 0)
        log_event(Log::Level::kError, "reload-unreadable",
                  std::string("reload: ") + e.what() + "; keeping the old configuration; retrying");
      return ReloadResult::kUnreadable;
    } catch (const std::exception& e) {
      log_event(Log::Level::kError, "reload-refused",
                std::string("reload: ") + e.what() + "; keeping the old configuration");
      return ReloadResult::kRejected;
    }
  }

  void copy_recording() {
    if (!flight_) {
      log_event(Log::Level::kWarn, "recorder-off",
                "SIGUSR2: nothing is recorded; set 'recorder' in the operator file");
    } else if (flight_->copy("asked", io_.now(), true)) {
      log_event(Log::Level::kInfo, "recorder-copied",
                "recorder: a copy was put beside the recording");
    } else {
      log_event(Log::Level::kError, "recorder-copy-failed",
                "recorder: the recording could not be copied");
    }
  }

  SystemIo io_;
  DescriptorSink sink_;
  Log log_;
  std::string name_, operator_file_;
  std::map<std::string, violetusher::core::config::Recorder> initial_recorders_;  // as of the start
  violetusher::core::config::Model model_;                                        // in use
  std::unique_ptr<FlightFile> flight_;
#ifdef VIOLETUSHER_LEDGER
  std::unique_ptr<LoopTaskQueue> router_tasks_;
  std::unique_ptr<violetusher::audit::TrailFiles> trail_;
  std::unique_ptr<violetusher::core::audit::ActivityRecorder> activity_recorder_;
#endif
  Router router_;
#ifdef VIOLETUSHER_LEDGER
  std::unique_ptr<violetusher::ledger::Service> ledger_;
  std::string settings_digest_, operator_digest_;
#endif
  std::unique_ptr<Alarm> reload_alarm_;
  Micros reload_retry_delay_ = 0;  // 0: no reload is being retried
  bool stopping_ = false;
};

}  // namespace

int main(int argc, char** argv) {
  // Before anything else: signals may come in series from the first moment on. SIGUSR1 has no
  // function, and before the start there is no recording to copy.
  for (int one : {SIGPIPE, SIGUSR1, SIGUSR2}) std::signal(one, SIG_IGN);
  violetusher::capture_signal(SIGHUP);  // before the first read, to miss no reload
  std::string operator_file;
  bool only_check = false;
  if (argc > 1) {  // the platform passes no arguments
    CLI::App app{"A memcache-protocol router; NODE_CONFIG names its configuration.", "violetusher"};
    app.add_option("--operator", operator_file, "Use this operator file")->type_name("FILE");
    app.add_flag("--check", only_check, "Check all files, report errors, and exit");
    app.set_version_flag("--version", VIOLETUSHER_VERSION);
    try {
      app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
      return app.exit(e) == 0 ? 0 : kExitInvalidInput;
    }
  }
  if (only_check) return check(operator_file);
  return_large_buffers_at_once();
  try {
    Config config;
    retry_while_unreadable([&] { config = load_config(); });
    if (!parse_address(config.discovery))
      return fail("discovery: invalid address '" + config.discovery + "'");
    std::unique_ptr<event_config, void (*)(event_config*)> options(event_config_new(),
                                                                   event_config_free);
    event_config_set_flag(options.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
    EventBasePtr base;
    auto make_base = [&] {
      base.reset(event_base_new_with_config(options.get()));
      return base != nullptr;
    };
    if (!retry_until(kReadRetryTimeout, make_base)) return fail("can't create an event loop");
    std::optional<Daemon> daemon;
    retry_while_unreadable([&] { daemon.emplace(base.get(), config, operator_file); });
    return daemon->run(config.listen);
  } catch (const std::exception& e) {
    return fail(e.what());
  }
}
