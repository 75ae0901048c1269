// violetusher: one router. Reads what it is told, starts, and ends on SIGTERM. SIGHUP makes it read
// its configuration, and the operator file where one is in use, again.
#include <csignal>
#include <cstdio>
#include <cstring>
#include <map>
#include <memory>

#include "net/flight_file.hpp"
#include "net/operator_file.hpp"
#include "net/router.hpp"
#include "net/system_io.hpp"

namespace {

constexpr int kWrongInput = 2;

int complain(const std::string& what) {
  std::fprintf(stderr, "violetusher: %s\n", what.c_str());
  return 1;
}

int usage(const std::string& what) {
  std::fprintf(stderr, "violetusher: %s\nusage: violetusher [--operator FILE] [--check]\n",
               what.c_str());
  return kWrongInput;
}

/// Reads everything, says what is wrong, and starts nothing.
int check(const std::string& operator_file) {
  using namespace violetusher::net;
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

/// What SIGHUP needs.
struct Reload {
  violetusher::net::Router* router;
  std::string operator_file;
  std::map<std::string, violetusher::core::config::Recorder> recorders;  // as at the start
};

/// What SIGUSR2 needs.
struct Copying {
  violetusher::net::FlightFile* file;  // none where nothing is recorded
  violetusher::net::Io* io;
};

}  // namespace

int main(int argc, char** argv) {
  using namespace violetusher::net;
  std::string operator_file;
  bool only_check = false;
  for (int k = 1; k < argc; ++k) {
    if (std::strcmp(argv[k], "--operator") == 0 && k + 1 < argc)
      operator_file = argv[++k];
    else if (std::strcmp(argv[k], "--check") == 0)
      only_check = true;
    else
      return usage(std::string("can't use '") + argv[k] + "'");
  }
  if (only_check) return check(operator_file);
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);  // until there is something to reload
  try {
    Config config = load_config();
    if (!parse_address(config.discovery))
      return complain("discovery: no address: '" + config.discovery + "'");
    std::unique_ptr<event_config, void (*)(event_config*)> options(event_config_new(),
                                                                   event_config_free);
    event_config_set_flag(options.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
    EventBasePtr base(event_base_new_with_config(options.get()));
    if (!base) return complain("no event base");
    SystemIo io(base.get());
    Router router(io, config);
    std::unique_ptr<FlightFile> flight;
    Reload reload{&router, operator_file, {}};
    if (!operator_file.empty()) {
      auto model = load_operator_file(operator_file, &config);
      reload.recorders = model.recorders;
      if (!model.recorders.empty()) {
        const auto& recorder = model.recorders.begin()->second;
        flight = std::make_unique<FlightFile>(
            recorder.file, static_cast<std::size_t>(recorder.size), config.name, io.now());
        router.record(&flight->ring(), [&](const char* what) {
          if (flight->copy(what, io.now(), false))
            complain(std::string("recorder: ") + what + ": a copy was put beside the recording");
        });
      }
      router.operate(std::move(model));
    }
    std::string error;
    if (!router.listen(error)) return complain("listen " + config.listen + ": " + error);
    auto on_signal = [](evutil_socket_t, short, void* r) { static_cast<Router*>(r)->stop(); };
    EventPtr term(evsignal_new(base.get(), SIGTERM, on_signal, &router));
    // A reload never ends the router: what goes wrong in it is logged, and all goes on as before.
    auto on_reload = [](evutil_socket_t, short, void* at) {
      auto* r = static_cast<Reload*>(at);
      try {
        Config config = reload_config();
        // Both are read before either is used: a bad one changes nothing.
        if (r->operator_file.empty()) {
          r->router->reload(config);
          return;
        }
        auto model = load_operator_file(r->operator_file, &config);
        if (model.recorders != r->recorders) complain("reload: recorder differs: needs a restart");
        r->router->reload(config);
        r->router->operate(std::move(model));
      } catch (const std::exception& e) {
        complain(std::string("reload: ") + e.what() + "; the old configuration is kept");
      }
    };
    EventPtr hang_up(evsignal_new(base.get(), SIGHUP, on_reload, &reload));
    event_add(hang_up.get(), nullptr);
    Copying copying{flight.get(), &io};
    auto on_copy = [](evutil_socket_t, short, void* at) {
      auto* c = static_cast<Copying*>(at);
      bool done = c->file && c->file->copy("asked", c->io->now(), true);
      complain(!c->file ? "SIGUSR2: nothing is recorded; see 'recorder' in the operator file"
               : done   ? "recorder: a copy was put beside the recording"
                        : "recorder: the recording could not be copied");
    };
    EventPtr copy(evsignal_new(base.get(), SIGUSR2, on_copy, &copying));
    event_add(copy.get(), nullptr);
    EventPtr interrupt(evsignal_new(base.get(), SIGINT, on_signal, &router));
    event_add(term.get(), nullptr);
    event_add(interrupt.get(), nullptr);
    std::string host = config.listen.substr(0, config.listen.rfind(':'));
    std::fprintf(stderr, "violetusher: %s listens on %s:%u\n", config.name.c_str(), host.c_str(),
                 static_cast<unsigned>(router.port()));
    router.run();
    return 0;
  } catch (const std::exception& e) {
    return complain(e.what());
  }
}
