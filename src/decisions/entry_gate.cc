#include <algorithm>

#include "figwind/admission.h"

namespace figwind {

namespace {

// Weight of one answer in the observed use of a service by a class.
constexpr auto answer_weight = 0.02;

// Shortest interval between two computations of a service's combined threshold.
constexpr auto min_combine_interval = milliseconds(5);

// Latest samples of a service's thresholds that are kept.
constexpr auto max_samples = std::size_t{64};

// Servers of a service that count as admitting all until they are known, so
// that the first report of one slow server does not close the service.
constexpr auto max_assumed_samples = std::size_t{4};

/// Returns the highest level that a quarter of the samples admit. A call that
/// one server refuses is sent to others, so a service refuses it only if most
/// of its servers do.
auto upper_quartile(std::vector<std::uint64_t>& levels) -> admission_level {
  const auto at =
      levels.begin() + static_cast<std::ptrdiff_t>((levels.size() - 1) * 3 / 4);
  std::nth_element(levels.begin(), at, levels.end());
  return {*at};
}

}  // namespace

entry_gate::entry_gate(const entry_gate_options& options) : options_{options} {}

void entry_gate::add_sample(const service_name& service,
                            admission_level threshold, time_point now) {
  auto& samples = services_[service].samples;
  if (samples.size() == max_samples) samples.pop_front();
  samples.push_back({threshold, now});
}

auto entry_gate::combined(service_view& view, time_point now) const
    -> admission_level {
  const auto age = now - view.combined_at;
  if (age < min_combine_interval) return view.combined;
  std::erase_if(view.samples, [&](const auto& x) {
    return now - x.received_at >= options_.report_expiry;
  });
  view.combined_at = now;
  auto levels = std::vector<std::uint64_t>{};
  levels.reserve(view.samples.size());
  for (const auto& x : view.samples) levels.push_back(x.threshold.value);
  const auto assumed = std::min(view.server_count, max_assumed_samples);
  if (levels.size() < assumed) {
    levels.resize(assumed, admit_all_threshold.value);
  }
  view.combined = levels.empty() ? admit_all_threshold : upper_quartile(levels);
  return view.combined;
}

void entry_gate::observe_reports(const class_name& name,
                                 const std::vector<threshold_report>& reports,
                                 time_point now) {
  auto& chain = chains_[name];
  for (auto& [service, share] : chain.service_shares)
    share *= 1 - answer_weight;
  for (const auto& report : reports) {
    add_sample(report.service, report.threshold, now);
    const auto [at, is_new] =
        chain.service_shares.try_emplace(report.service, 1.0);
    if (!is_new) at->second = std::min(1.0, at->second + answer_weight);
  }
}

void entry_gate::observe_complete(const class_name& name,
                                  const std::vector<threshold_report>& reports,
                                  time_point now) {
  for (const auto& used : chains_[name].service_shares) {
    const auto reported =
        std::any_of(reports.begin(), reports.end(),
                    [&](const auto& x) { return x.service == used.first; });
    if (!reported) add_sample(used.first, admit_all_threshold, now);
  }
}

void entry_gate::set_server_count(const service_name& service,
                                  std::size_t count) {
  services_[service].server_count = count;
}

void entry_gate::observe_latency(const class_name& name, duration total,
                                 time_point now) {
  chains_[name].latency.observe(total, now);
}

auto entry_gate::usual_latency(const class_name& name, time_point now) const
    -> duration {
  const auto chain = chains_.find(name);
  if (chain == chains_.end()) return {};
  return chain->second.latency.upper_estimate(now);
}

auto entry_gate::threshold_of(const class_name& name, time_point now)
    -> admission_level {
  auto strictest = admit_all_threshold;
  const auto chain = chains_.find(name);
  if (chain == chains_.end()) return strictest;
  for (const auto& [service, share] : chain->second.service_shares) {
    if (share < options_.min_chain_share.value) continue;
    const auto view = services_.find(service);
    if (view == services_.end()) continue;
    strictest = std::min(strictest, combined(view->second, now));
  }
  return strictest;
}

auto entry_gate::decide(const call_context& call, time_point now) -> refusal {
  if (level_of(call) > threshold_of(call.name, now)) return refusal::overload;
  const auto chain = chains_.find(call.name);
  if (chain == chains_.end()) return refusal::none;
  if (chain->second.latency.lower_estimate(now) > call.time_left) {
    return refusal::deadline;
  }
  return refusal::none;
}

auto entry_gate::relayed_reports(const std::vector<service_name>& services,
                                 const vm_address& self, time_point now)
    -> std::vector<threshold_report> {
  auto reports = std::vector<threshold_report>{};
  for (const auto& service : services) {
    auto report = threshold_report{service, self, admit_all_threshold};
    const auto view = services_.find(service);
    if (view != services_.end()) {
      report.threshold = combined(view->second, now);
    }
    reports.push_back(report);
  }
  return reports;
}

}  // namespace figwind
