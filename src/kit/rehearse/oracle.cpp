#include "oracle.hpp"

#include <algorithm>
#include <cstdio>

#include "judging.hpp"
#include "kit/common/units.hpp"

namespace violetusher::rehearse {
namespace {

std::uint64_t key_of(std::uint64_t request, int number) {
  return request * 64 + static_cast<std::uint64_t>(number);
}

class ExpectationChecker {
 public:
  ExpectationChecker(const Day& day, Verdict& verdict) : day_(day), verdict_(verdict) {}

  void run() { check_all(); }

 private:
  void check(const std::string& name, bool held, const std::string& expected,
             const std::string& actual) {
    verdict_.checks.push_back({name, expected, actual, held});
  }
  void check_at_least(const std::string& name, double expected, double actual) {
    if (expected >= 0)
      check(name, actual >= expected, "at least " + kit::percent(expected), kit::percent(actual));
  }

  void check_all() {
    const Expectations& x = day_.expect;
    check_at_least("service", x.service, verdict_.service);
    double worst = 1;
    for (const Window& w : verdict_.windows)
      if (w.asked) worst = std::min(worst, w.service);
    check_at_least("worst_window", x.worst_window, worst);
    auto lowest = [](const std::vector<ClassFigures>& list) {
      double low = 1;
      for (const auto& f : list)
        if (f.asked) low = std::min(low, f.service);
      return low;
    };
    check_at_least("worst_class", x.worst_class, lowest(verdict_.classes));
    check_at_least("worst_banner", x.worst_tenant, lowest(verdict_.tenants));
    double requests = static_cast<double>(std::max<std::uint64_t>(verdict_.requests, 1));
    check_at_least("served", x.served, static_cast<double>(verdict_.served) / requests);
    if (x.refused_below >= 0) {
      double part = static_cast<double>(verdict_.refused) / requests;
      check("refused_below", part < x.refused_below, "below " + kit::percent(x.refused_below),
            kit::percent(part));
    }
    for (const auto& [name, limit] : x.p99)
      for (const auto& f : verdict_.classes)
        if (f.name == name)
          check("p99 of " + name, f.served > 0 && f.p99 <= limit,
                "at most " + kit::duration_text(limit),
                f.served ? kit::duration_text(f.p99) : "none served");
    for (const auto& [name, expected] : x.tenants)
      for (const auto& f : verdict_.tenants)
        if (f.name == name) check_at_least("service of " + name, expected, f.service);
    for (std::size_t r = 0; r < verdict_.routers.size(); ++r) {
      const RouterFigures& f = verdict_.routers[r];
      std::string router = " of r" + std::to_string(r + 1);
      auto mib = [](std::uint64_t bytes) {
        char text[32];
        std::snprintf(text, sizeof text, "%.1f MiB", static_cast<double>(bytes) / 1048576);
        return std::string(text);
      };
      check("memory" + router, f.peak_memory < x.memory_below, "below " + mib(x.memory_below),
            mib(f.peak_memory));
      int most =
          *std::max_element(std::begin(f.descriptor_quarters), std::end(f.descriptor_quarters));
      check("descriptors" + router, most < x.descriptors_below,
            "below " + std::to_string(x.descriptors_below), std::to_string(most));
      if (x.memory_growth_below >= 0 && f.memory_quarters[1] && f.memory_quarters[3]) {
        double growth =
            static_cast<double>(f.memory_quarters[3]) / static_cast<double>(f.memory_quarters[1]) -
            1;
        check("memory growth" + router, growth < x.memory_growth_below,
              "below " + kit::percent(x.memory_growth_below), kit::percent(growth));
      }
    }
    if (verdict_.requests == 0) check("requests", false, "some", "none was played");
  }

  const Day& day_;
  Verdict& verdict_;
};

}  // namespace

AttemptIndex::AttemptIndex(const kit::History& history) {
  for (const auto& a : history.attempts)
    if (a.request != kit::kNoRequest) attempts_[key_of(a.request, a.attempt_try)].push_back(&a);
}

const AttemptIndex::Attempts& AttemptIndex::of(const kit::TryRecord& t) const {
  static const Attempts kNone;
  auto it = attempts_.find(key_of(t.request, t.number));
  return it == attempts_.end() ? kNone : it->second;
}

void check_expectations(const Day& day, Verdict& verdict) {
  ExpectationChecker(day, verdict).run();
}

bool Verdict::pass() const {
  return broken.empty() &&
         std::all_of(checks.begin(), checks.end(), [](auto& c) { return c.held; });
}

Verdict judge(const Day& day, const Plan& plan, const kit::History& history) {
  Verdict verdict;
  AttemptIndex attempts(history);
  check_rules(day, history, attempts, verdict);
  compute_figures(day, plan, history, attempts, verdict);
  check_expectations(day, verdict);
  verdict.attempts = history.attempts.size();
  return verdict;
}

}  // namespace violetusher::rehearse
