// violetusher-kit: the test and rehearsal kit, one tool per subcommand.
//
// Exit codes: 0 pass, 1 fail, 2 wrong input or usage, 3 inconclusive.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <cstdio>

#include "kit/audit/command.hpp"
#include "kit/chaos/command.hpp"
#include "kit/config/command.hpp"
#include "kit/flight/command.hpp"
#include "kit/ledger/command.hpp"
#include "kit/ledger/rollout.hpp"
#include "kit/losses/command.hpp"
#include "kit/rehearse/command.hpp"
#include "kit/soak/command.hpp"

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  CLI::App app{"violetusher-kit: stand-ins, rehearsals and more for the router violetusher"};
  app.require_subcommand(1);
  int code = 0;
  violetusher::rehearse::add_rehearse(app, argv[0], code);
  violetusher::rehearse::add_standin(app, code);
  violetusher::kit::add_config(app, code);
  violetusher::kit::add_flight(app, code);
  violetusher::kit::add_losses(app, code);
  violetusher::kit::add_ledger(app, code);
  violetusher::kit::add_rollout(app, code);
  violetusher::kit::add_audit(app, code);
  violetusher::kit::add_trail(app, code);
  violetusher::chaos::add_chaos(app, argv[0], code);
  violetusher::soak::add_soak(app, argv[0], code);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 2;
  } catch (const std::exception& e) {
    // A socket, process or memory could not be allocated, so the result is inconclusive.
    std::fprintf(stderr, "violetusher-kit: %s\n", e.what());
    return 3;
  }
  return code;
}
