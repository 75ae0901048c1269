#include "schedule.hpp"

#include <algorithm>
#include <sstream>
#include <stdexcept>

#include "kit/common/ledger_faults.hpp"
#include "kit/common/random.hpp"

namespace violetusher::chaos {
namespace {

using kit::kLedgerFaults;
constexpr int kFirstKinds = 14;  // that draw() knows
constexpr Micros kMs = 1000;

}  // namespace

std::string_view name_of(Fault::Kind kind) { return kLedgerFaults[static_cast<int>(kind)]; }

std::optional<Fault::Kind> kind_named(std::string_view name) {
  auto it = std::find(std::begin(kLedgerFaults), std::end(kLedgerFaults), name);
  if (it == std::end(kLedgerFaults)) return {};
  return static_cast<Fault::Kind>(it - std::begin(kLedgerFaults));
}

bool loses_disk(Fault::Kind kind) {
  return kind == Fault::Kind::kLoseDisk || kind == Fault::Kind::kOldDisk ||
         kind == Fault::Kind::kRolledBack || kind == Fault::Kind::kSpoilDisk;
}

bool kills(Fault::Kind kind) {
  return loses_disk(kind) || kind == Fault::Kind::kKill || kind == Fault::Kind::kReadError ||
         kind == Fault::Kind::kPowerLoss;
}

bool needs_to(Fault::Kind kind) { return kit::has_word(kit::kLinkFaults, name_of(kind)); }

bool needs_time(Fault::Kind kind) { return kit::has_word(kit::kTimedFaults, name_of(kind)); }

std::string hall_of(int router) {
  constexpr const char* kHalls[] = {"bole", "kality", "piassa"};
  return kHalls[router % 3];
}

LinkFaults link_faults(const std::vector<const Fault*>& active, int from, int to) {
  LinkFaults out;
  using Kind = Fault::Kind;
  for (const Fault* f : active) {
    bool this_one = f->a == from && f->b == to;
    out.cut |= (f->kind == Kind::kCut && this_one) ||
               (f->kind == Kind::kIsolate && (f->a == from || f->a == to)) ||
               (f->kind == Kind::kSplit &&
                (hall_of(f->a) == hall_of(from)) != (hall_of(f->a) == hall_of(to)));
    out.reset |= f->kind == Kind::kReset && this_one;
    if (f->kind == Kind::kRate && this_one) out.rate = f->figure * 1024;
    out.shuffle |= f->kind == Kind::kShuffle && this_one;
    out.spoil |= f->kind == Kind::kSpoil && this_one;
    if (f->kind == Kind::kSlow && this_one) out.delay += static_cast<Micros>(f->figure) * kMs;
  }
  return out;
}

Schedule draw(std::uint64_t seed) {
  Schedule s;
  s.seed = seed;
  kit::Draws draws(seed);
  std::uint64_t index = 0;
  auto pick = [&](std::uint64_t below) {
    return static_cast<int>(draws.bits(kit::Stream::kFault, ++index) % below);
  };
  s.keepers = pick(3) == 0 ? 5 : 3;
  s.routers = s.keepers + 2 + pick(3);
  int count = 6 + pick(14);
  for (int i = 0; i < count; ++i) {
    Fault f;
    f.kind = static_cast<Fault::Kind>(pick(static_cast<std::uint64_t>(kFirstKinds)));
    f.at = (1500 + pick(14'000)) * kMs;
    f.until = std::min(f.at + (100 + pick(3000)) * kMs, s.length - 2'000 * kMs);
    f.a = pick(static_cast<std::uint64_t>(s.routers));
    f.b = (f.a + 1 + pick(static_cast<std::uint64_t>(s.routers - 1))) % s.routers;
    if (f.kind == Fault::Kind::kSlow) f.figure = 20 + pick(600);
    if (f.kind == Fault::Kind::kOldDisk || f.kind == Fault::Kind::kRolledBack)
      f.figure = 300 + pick(5000);
    s.faults.push_back(f);
  }
  std::sort(s.faults.begin(), s.faults.end(),
            [](const Fault& x, const Fault& y) { return x.at < y.at; });
  return s;
}

Schedule draw_more(std::uint64_t seed) {
  Schedule s = draw(seed);
  kit::Draws draws(seed ^ 0x6d6f7265ull);
  std::uint64_t index = 0;
  auto pick = [&](int below) {
    return static_cast<int>(draws.bits(kit::Stream::kFault, ++index) %
                            static_cast<unsigned>(below));
  };
  s.newer = pick(s.routers + 1);
  s.operators = pick(3);
  for (int i = pick(4); i > 0; --i) {
    Fault f{Fault::Kind::kClock, (1500 + pick(14'000)) * kMs, 0, pick(s.routers), 0, 0};
    f.until = f.at;
    f.figure = pick(2) ? 200 + pick(2000) : 2000 + pick(60'000);
    s.faults.push_back(f);
  }
  for (int i = pick(4); i > 0; --i) {
    Fault f;
    f.kind = static_cast<Fault::Kind>(static_cast<int>(Fault::Kind::kSlowDisk) + pick(3));
    f.at = (1500 + pick(13'000)) * kMs;
    f.until = f.at + (100 + pick(3000)) * kMs;
    f.a = pick(s.routers);
    f.figure = 20 + pick(400);
    s.faults.push_back(f);
  }
  for (int i = pick(4); i > 0; --i) {
    Fault f;
    f.kind = pick(2) ? Fault::Kind::kReset : Fault::Kind::kRate;
    f.at = (1500 + pick(13'000)) * kMs;
    f.until = f.at + (100 + pick(4000)) * kMs;
    f.a = pick(s.routers);
    f.b = (f.a + 1 + pick(s.routers - 1)) % s.routers;
    f.figure = 1 + pick(40);
    s.faults.push_back(f);
  }
  std::stable_sort(s.faults.begin(), s.faults.end(),
                   [](const Fault& x, const Fault& y) { return x.at < y.at; });
  return s;
}

Schedule draw_losses(std::uint64_t seed, int losses) {
  Schedule s;
  s.seed = seed;
  kit::Draws draws(seed ^ 0x6c6f7373ull);
  std::uint64_t index = 0;
  auto pick = [&](int below) {
    return static_cast<int>(draws.bits(kit::Stream::kFault, ++index) %
                            static_cast<unsigned>(below));
  };
  s.keepers = pick(2) ? 5 : 3;
  s.routers = s.keepers + 2;
  Micros at = 4'000 * kMs;
  for (int i = 0; i < losses; ++i) {
    // Each in turn, so that whoever leads has its turn as well, from another place each round.
    Fault f{
        Fault::Kind::kLoseDisk, at + pick(1000) * kMs, 0, (i + i / s.routers) % s.routers, 0, 0};
    f.until = f.at + (50 + pick(1500)) * kMs;
    s.faults.push_back(f);
    at += 9'000 * kMs;
  }
  s.length = at;
  return s;
}

std::string text_of(const Schedule& s) {
  std::ostringstream out;
  out << "seed " << s.seed << "\nlength " << s.length / kMs << "\nrouters " << s.routers
      << "\nkeepers " << s.keepers << "\nclients " << s.clients << "\nnames " << s.names
      << "\nfollowers " << s.followers << "\noperators " << s.operators << "\nnewer " << s.newer
      << "\n";
  for (const Fault& f : s.faults) {
    out << name_of(f.kind) << " " << f.at / kMs << " " << f.until / kMs << " r" << f.a + 1 << " r"
        << f.b + 1 << " " << f.figure << "\n";
  }
  return out.str();
}

std::string day_of(const Schedule& s) {
  std::ostringstream out;
  out << "name = \"schedule-" << s.seed << "\"\nlength = \"" << s.length / kMs
      << "ms\"\nseed = " << s.seed
      << "\n\n[[fleet.servers]]\nkind = \"std-4c\"\ncount = 3\n\n[routers]\ncount = " << s.routers
      << "\n\n[tills]\nrate = \"200/s\"\n\n[ledger]\nkeepers = " << s.keepers
      << "\nfollowers = " << s.followers << "\nclients = " << s.clients << "\nnames = " << s.names
      << "\noperators = " << s.operators << "\n";
  if (s.newer > 0) out << "# the last " << s.newer << " routers of the next version\n";
  for (const Fault& f : s.faults) {
    if (f.kind == Fault::Kind::kClock) {
      out << "# at " << f.at / kMs << "ms the clock of r" << f.a + 1 << " jumps by " << f.figure
          << "ms\n";
      continue;
    }
    out << "\n[[event]]\nwhat = \"ledger-" << name_of(f.kind) << "\"\nat = \"" << f.at / kMs
        << "ms\"\nuntil = \"" << std::max(f.until, f.at + kMs) / kMs << "ms\"\nrouters = \"r"
        << f.a + 1 << "\"\n";
    if (needs_to(f.kind)) out << "to = \"r" << f.b + 1 << "\"\n";
    if (f.kind == Fault::Kind::kRate)
      out << "kib_per_s = " << f.figure << "\n";
    else if (needs_time(f.kind))
      out << "by = \"" << f.figure << "ms\"\n";
  }
  return out.str();
}

Schedule parse_schedule(const std::string& text) {
  Schedule s;
  std::istringstream lines(text);
  std::string line;
  int at = 0;
  auto wrong = [&](const std::string& what) {
    throw std::runtime_error("line " + std::to_string(at) + ": " + what);
  };
  while (std::getline(lines, line)) {
    ++at;
    line = line.substr(0, line.find('#'));
    std::istringstream words(line);
    std::string word;
    if (!(words >> word)) continue;
    auto number = [&](auto& into, std::int64_t low, std::int64_t high) {
      std::int64_t n = 0;
      if (!(words >> n) || n < low || n > high)
        wrong("'" + word + "' wants a number of " + std::to_string(low) + " to " +
              std::to_string(high));
      into = static_cast<std::remove_reference_t<decltype(into)>>(n);
    };
    if (word == "seed") {
      number(s.seed, 0, INT64_MAX);
    } else if (word == "length") {
      number(s.length, 1000, 600'000);
      s.length *= kMs;
    } else if (word == "routers") {
      number(s.routers, 1, 1000);
    } else if (word == "keepers") {
      number(s.keepers, 1, 7);
    } else if (word == "clients") {
      number(s.clients, 1, 16);
    } else if (word == "followers") {
      number(s.followers, 1, 256);
    } else if (word == "operators") {
      number(s.operators, 0, 4);
    } else if (word == "newer") {
      number(s.newer, 0, 1000);
    } else if (word == "names") {
      number(s.names, 1, 64);
    } else {
      auto kind = kind_named(word);
      if (!kind) wrong("'" + word + "' is no fault and no setting");
      Fault f;
      f.kind = *kind;
      number(f.at, 0, 600'000);
      number(f.until, 0, 600'000);
      f.at *= kMs;
      f.until *= kMs;
      auto router = [&](int& into) {
        std::string name;
        if (!(words >> name) || name.size() < 2 || name[0] != 'r' ||
            name.find_first_not_of("0123456789", 1) != name.npos || name.size() > 4)
          wrong("'" + word + "' wants two routers, r1 and so on");
        into = std::stoi(name.substr(1)) - 1;
        if (into < 0 || into >= s.routers) wrong("there is no router " + name);
      };
      router(f.a);
      router(f.b);
      words >> f.figure;
      if (f.until < f.at) wrong("ends before it begins");
      s.faults.push_back(f);
    }
    std::string more;
    words.clear();
    if (words >> more) wrong("'" + more + "' is too much");
  }
  std::stable_sort(s.faults.begin(), s.faults.end(),
                   [](const Fault& x, const Fault& y) { return x.at < y.at; });
  return s;
}

}  // namespace violetusher::chaos
