#include "figwind/running_calls.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace figwind {
namespace {

// Weight of one run in the mean number of calls of its class.
constexpr auto run_weight = 0.05;
// Maximum number of reports that one run passes on; a run that uses more
// servers keeps the first ones.
constexpr auto max_reports = std::size_t{16};

void merge(std::vector<threshold_report>& reports,
           const std::vector<threshold_report>& new_reports) {
  for (const auto& x : new_reports) {
    const auto same = std::find_if(
        reports.begin(), reports.end(), [&](const threshold_report& y) {
          return y.service == x.service && y.reporter == x.reporter;
        });
    if (same != reports.end()) {
      same->threshold = x.threshold;
    } else if (reports.size() < max_reports) {
      reports.push_back(x);
    }
  }
}

/// Removes the reports of services of which no server restricts calls; the
/// caller assumes so of services without a report.
void remove_unrestricted(std::vector<threshold_report>& reports) {
  auto restricted = std::set<service_name>{};
  for (const auto& x : reports) {
    if (x.threshold != admit_all_threshold) restricted.insert(x.service);
  }
  std::erase_if(reports, [&](const threshold_report& x) {
    return restricted.count(x.service) == 0;
  });
}

}  // namespace

void running_calls::start(const std::string& id, const class_name& name,
                          const call_chain& chain) {
  runs_[id] = {name, chain, 0, 0, false, {}, {}};
}

void running_calls::on_no_server(const std::string& id) {
  const auto found = runs_.find(id);
  if (found != runs_.end()) found->second.no_server_found = true;
}

auto running_calls::end(const std::string& id, bool complete) -> running_call {
  const auto found = runs_.find(id);
  if (found == runs_.end()) return {};
  auto run = std::move(found->second);
  runs_.erase(found);
  remove_unrestricted(run.thresholds);
  if (complete) {
    const auto calls = static_cast<double>(run.calls_answered);
    const auto [mean, is_new] = mean_calls_.try_emplace(run.name, calls);
    if (!is_new) mean->second += run_weight * (calls - mean->second);
  }
  return run;
}

auto running_calls::find(const std::string& id) const -> const running_call* {
  const auto found = runs_.find(id);
  return found == runs_.end() ? nullptr : &found->second;
}

auto running_calls::downstream_chain(const running_call& run) -> call_chain {
  auto out = run.chain;
  ++out.depth;
  return out;
}

auto running_calls::expected_calls_left(const running_call& run) const -> int {
  const auto mean = mean_calls_.find(run.name);
  if (mean == mean_calls_.end()) return 1;
  const auto left = std::lround(mean->second) - run.calls_answered;
  return std::max(static_cast<int>(left), 1);
}

void running_calls::on_call_answered(
    const std::string& id, bool complete, const downstream_retries& call,
    const std::vector<threshold_report>& thresholds) {
  const auto found = runs_.find(id);
  if (found == runs_.end()) return;
  auto& run = found->second;
  (complete ? run.calls_answered : run.calls_failed) += 1;
  run.downstream.levels_below =
      std::max(run.downstream.levels_below, call.levels_below + 1);
  run.downstream.used_fraction =
      std::max(run.downstream.used_fraction, call.used_fraction);
  merge(run.thresholds, thresholds);
}

void running_calls::on_call_completed(
    const std::string& id, const service_name& service, const vm_address& node,
    const std::vector<threshold_report>& thresholds) {
  const auto found = runs_.find(id);
  if (found == runs_.end()) return;
  const auto reported =
      std::any_of(thresholds.begin(), thresholds.end(),
                  [&](const auto& x) { return x.reporter == node; });
  if (reported) return;
  merge(found->second.thresholds, {{service, node, admit_all_threshold}});
}

}  // namespace figwind
