#include "figwind/crash_detector.h"

#include <utility>

namespace figwind {

crash_detector::crash_detector(node_id self, crash_guard_settings settings)
    : guard_{std::move(self), settings} {}

auto crash_detector::is_refused(request_fingerprint request,
                                time_point now) const -> bool {
  return guard_.is_refused(request, now);
}

void crash_detector::on_started(request_fingerprint request, time_point now) {
  if (server_down_) runs_since_crash_.insert(request);
  guard_.on_started(request, now);
}

void crash_detector::forget_run(request_fingerprint request) {
  const auto found = runs_since_crash_.find(request);
  if (found != runs_since_crash_.end()) runs_since_crash_.erase(found);
}

void crash_detector::on_answered(request_fingerprint request, time_point now) {
  server_down_ = false;
  runs_since_crash_.clear();
  guard_.on_finished(request, true, now);
}

void crash_detector::on_ended(request_fingerprint request, time_point now) {
  forget_run(request);
  guard_.on_finished(request, false, now);
}

auto crash_detector::on_disconnected(request_fingerprint request,
                                     time_point now) -> bool {
  if (server_down_ && runs_since_crash_.count(request) == 0) {
    on_ended(request, now);
    return false;
  }
  server_down_ = false;
  disconnected_runs_.push_back(request);
  return !std::exchange(probe_pending_, true);
}

auto crash_detector::on_probed(bool accepts, time_point now) -> crash_report {
  probe_pending_ = false;
  auto out = crash_report{};
  if (!accepts) {
    server_down_ = true;
    out = guard_.on_crashed(now);
  }
  for (const auto& request : std::exchange(disconnected_runs_, {}))
    on_ended(request, now);
  return out;
}

auto crash_detector::full_report(time_point now) const -> crash_report {
  return guard_.full_report(now);
}

auto crash_detector::merge(const crash_report& report, time_point now)
    -> crash_report {
  return guard_.merge(report, now);
}

}  // namespace figwind
