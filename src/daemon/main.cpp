// violetusher: one router. Reads what it is told, starts, and ends on SIGTERM. SIGHUP makes it
// read its configuration again.
#include <csignal>
#include <cstdio>

#include "../net/router.hpp"

namespace {

int complain(const std::string& what) {
  std::fprintf(stderr, "violetusher: %s\n", what.c_str());
  return 1;
}

}  // namespace

int main() {
  using namespace violetusher::net;
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
    Router router(base.get(), config);
    std::string error;
    if (!router.listen(error)) return complain("listen " + config.listen + ": " + error);
    auto on_signal = [](evutil_socket_t, short, void* r) { static_cast<Router*>(r)->stop(); };
    EventPtr term(evsignal_new(base.get(), SIGTERM, on_signal, &router));
    // A reload never ends the router: what goes wrong in it is logged, and all goes on as before.
    auto on_reload = [](evutil_socket_t, short, void* r) {
      try {
        static_cast<Router*>(r)->reload(reload_config());
      } catch (const std::exception& e) {
        complain(std::string("reload: ") + e.what() + "; the old configuration is kept");
      }
    };
    EventPtr hang_up(evsignal_new(base.get(), SIGHUP, on_reload, &router));
    event_add(hang_up.get(), nullptr);
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
