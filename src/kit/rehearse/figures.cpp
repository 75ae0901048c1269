// The figures of a day.
#include <algorithm>

#include "judging.hpp"

namespace violetusher::rehearse {
namespace {

using kit::TryEnd;

/// Reorders `values`.
Micros quantile(std::vector<Micros>& values, double q) {
  if (values.empty()) return 0;
  auto at =
      std::min(values.size() - 1, static_cast<std::size_t>(q * static_cast<double>(values.size())));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
  return values[at];
}

class FigureCalculator {
 public:
  FigureCalculator(const Day& day, const Plan& plan, const kit::History& history,
                   const AttemptIndex& attempts, Verdict& verdict)
      : day_(day),
        plan_(plan),
        history_(history),
        attempts_(attempts),
        verdict_(verdict),
        router_count_(static_cast<int>(day.routers.halls.size())) {}

  void run() {
    compute_service();
    compute_added_time();
    compute_head_of_line();
    compute_resources();
  }

 private:
  struct WorthSum {
    double worth = 0, asked = 0;
    double fraction() const { return asked > 0 ? worth / asked : 1; }
  };

  void compute_service() {
    std::vector<const kit::TryRecord*> end(plan_.requests.size(), nullptr);
    std::vector<Micros> served_at(plan_.requests.size(), 0);
    for (const auto& t : history_.tries) {
      if (t.end == TryEnd::kServed && !served_at[t.request]) served_at[t.request] = t.answered();
      end[t.request] = &t;  // the last try decides how the request ended
    }
    const Tills& tills = day_.tills;
    auto windows = static_cast<std::size_t>((day_.length + kWindow - 1) / kWindow);
    std::vector<WorthSum> by_class(tills.classes.size()), by_tenant(tills.tenants.size()),
        by_window(windows);
    std::vector<std::vector<Micros>> class_times(tills.classes.size()),
        tenant_times(tills.tenants.size()), window_times(windows);
    std::vector<Micros> all, direct;
    verdict_.classes.resize(tills.classes.size());
    verdict_.tenants.resize(tills.tenants.size());
    verdict_.windows.resize(windows);
    WorthSum whole;
    for (std::size_t k = 0; k < plan_.requests.size(); ++k) {
      const PlannedRequest& r = plan_.requests[k];
      if (!end[k]) continue;  // cut short
      Micros took = served_at[k] ? served_at[k] - (history_.origin + r.at) : 0;
      if (r.direct) {
        ++verdict_.direct;
        if (served_at[k]) direct.push_back(took);
        continue;
      }
      auto c = static_cast<std::size_t>(r.type), b = static_cast<std::size_t>(r.tenant);
      auto w = std::min(static_cast<std::size_t>(r.at / kWindow), windows - 1);
      const TillClass& type = tills.classes[c];
      double asked = type.worth * static_cast<double>(r.hint);
      bool served = served_at[k] != 0, in_objective = served && took <= type.latency_objective;
      double worth = in_objective                      ? asked
                     : served && took <= type.deadline ? asked * type.late_worth
                                                       : 0;
      for (WorthSum* sum : {&whole, &by_class[c], &by_tenant[b], &by_window[w]}) {
        sum->asked += asked;
        sum->worth += worth;
      }
      ++verdict_.requests;
      for (ClassFigures* f : {&verdict_.classes[c], &verdict_.tenants[b]}) {
        ++f->asked;
        f->served += served;
        f->in_objective += in_objective;
      }
      Window& window = verdict_.windows[w];
      ++window.asked;
      if (served) {
        ++verdict_.served, ++window.served;
        all.push_back(took);
        class_times[c].push_back(took);
        tenant_times[b].push_back(took);
        window_times[w].push_back(took);
      } else if (end[k]->end == TryEnd::kRefused) {
        ++verdict_.refused, ++window.refused;
      } else if (end[k]->end == TryEnd::kLeft) {
        ++verdict_.left, ++window.failed;
      } else {
        ++verdict_.failed, ++window.failed;
      }
    }
    verdict_.service = whole.fraction();
    verdict_.p50 = quantile(all, 0.5), verdict_.p99 = quantile(all, 0.99);
    verdict_.direct_p50 = quantile(direct, 0.5), verdict_.direct_p99 = quantile(direct, 0.99);
    auto complete = [&](ClassFigures& f, const std::string& name, const WorthSum& sum,
                        std::vector<Micros>& times) {
      f.name = name;
      f.service = sum.fraction();
      f.p50 = quantile(times, 0.5), f.p99 = quantile(times, 0.99);
    };
    for (std::size_t k = 0; k < verdict_.classes.size(); ++k)
      complete(verdict_.classes[k], tills.classes[k].name, by_class[k], class_times[k]);
    for (std::size_t k = 0; k < verdict_.tenants.size(); ++k)
      complete(verdict_.tenants[k], tills.tenants[k].name, by_tenant[k], tenant_times[k]);
    for (std::size_t k = 0; k < windows; ++k) {
      verdict_.windows[k].from = static_cast<Micros>(k) * kWindow;
      verdict_.windows[k].service = by_window[k].fraction();
      verdict_.windows[k].p50 = quantile(window_times[k], 0.5);
      verdict_.windows[k].p99 = quantile(window_times[k], 0.99);
    }
  }

  /// The latency that the router adds to requests with one attempt: the time seen by the till minus
  /// the time at the price cache.
  void compute_added_time() {
    std::vector<Micros> added;
    for (const auto& t : history_.tries) {
      if (t.router >= router_count_ || t.end != TryEnd::kServed || t.sent == 0 || t.begun) continue;
      const auto& attempts = attempts_.of(t);
      if (attempts.size() != 1 || attempts[0]->ended == 0) continue;
      added.push_back((t.ended - t.sent) - (attempts[0]->ended - attempts[0]->first_byte));
    }
    verdict_.routed_p50 = quantile(added, 0.5), verdict_.routed_p99 = quantile(added, 0.99);
  }

  /// Computes how long complete answers waited behind other answers on their connection.
  void compute_head_of_line() {
    struct WaitSamples {
      std::vector<Micros> waits;
      void add(Micros wait) { waits.push_back(wait); }
      HeadOfLineFigures figures(const std::string& name) {
        HeadOfLineFigures f;
        f.name = name;
        f.answers = waits.size();
        for (Micros wait : waits) f.total += wait, f.waited += wait > kHeadOfLineThreshold;
        if (!waits.empty()) f.worst = *std::max_element(waits.begin(), waits.end());
        f.p50 = quantile(waits, 0.5), f.p99 = quantile(waits, 0.99);
        return f;
      }
    };
    WaitSamples all;
    std::vector<WaitSamples> servers(history_.servers.size()),
        routers(static_cast<std::size_t>(router_count_));
    for (const auto& a : history_.attempts) {
      if (!a.made || !a.ended || a.left || a.router < 0 || a.router >= router_count_) continue;
      Micros wait = std::max<Micros>(a.ended - a.made, 0);
      all.add(wait);
      servers[static_cast<std::size_t>(a.server)].add(wait);
      routers[static_cast<std::size_t>(a.router)].add(wait);
    }
    verdict_.head_of_line = all.figures("all");
    for (std::size_t k = 0; k < servers.size(); ++k)
      verdict_.head_of_line_by_server.push_back(servers[k].figures(history_.servers[k]));
    for (std::size_t k = 0; k < routers.size(); ++k)
      verdict_.head_of_line_by_router.push_back(routers[k].figures("r" + std::to_string(k + 1)));
  }

  void compute_resources() {
    verdict_.routers.resize(static_cast<std::size_t>(router_count_));
    std::vector<std::uint64_t> counts(static_cast<std::size_t>(router_count_) * 4, 0);
    for (const auto& s : history_.router_samples) {
      auto r = static_cast<std::size_t>(s.router);
      auto quarter = static_cast<std::size_t>(
          std::clamp<Micros>((s.at - history_.origin) * 4 / day_.length, 0, 3));
      RouterFigures& f = verdict_.routers[r];
      f.memory_quarters[quarter] += s.memory;
      ++counts[r * 4 + quarter];
      f.peak_memory = std::max(f.peak_memory, s.memory);
      f.descriptor_quarters[quarter] = std::max(f.descriptor_quarters[quarter], s.descriptors);
    }
    for (std::size_t r = 0; r < verdict_.routers.size(); ++r)
      for (std::size_t q = 0; q < 4; ++q)
        if (counts[r * 4 + q]) verdict_.routers[r].memory_quarters[q] /= counts[r * 4 + q];
    for (const auto& t : history_.tries)
      if (t.router >= 0 && t.router < router_count_)
        ++verdict_.routers[static_cast<std::size_t>(t.router)].tries;
  }

  const Day& day_;
  const Plan& plan_;
  const kit::History& history_;
  const AttemptIndex& attempts_;
  Verdict& verdict_;
  int router_count_;
};

}  // namespace

void compute_figures(const Day& day, const Plan& plan, const kit::History& history,
                     const AttemptIndex& attempts, Verdict& verdict) {
  FigureCalculator(day, plan, history, attempts, verdict).run();
}

}  // namespace violetusher::rehearse
