#include "figwind/lost_answer_detector.h"

#include <algorithm>
#include <utility>

namespace figwind {

void lost_answer_detector::on_started(std::uint64_t call,
                                      const class_name& name, time_point now) {
  auto& x = classes_[name];
  x.calls[call] = {now, x.started++, 0};
  names_[call] = name;
}

void lost_answer_detector::on_answered(std::uint64_t call, time_point now) {
  const auto name = names_.find(call);
  if (name == names_.end()) return;
  auto& x = classes_[name->second];
  x.slowest = std::max(x.slowest, now - x.calls.at(call).started);
  if (++x.responses >= options_.responses_per_period) {
    x.slowest_before = std::exchange(x.slowest, duration{});
    x.responses = 0;
  }
  remove(call, true);
}

void lost_answer_detector::on_ended(std::uint64_t call) {
  remove(call, false);
}

void lost_answer_detector::remove(std::uint64_t call, bool answered) {
  const auto name = names_.find(call);
  if (name == names_.end()) return;
  auto& x = classes_[name->second];
  names_.erase(name);
  const auto ended = x.calls.find(call);
  if (!answered) {
    for (auto older = x.calls.begin(); older != ended; ++older) {
      ++older->second.later_unanswered;
    }
  }
  x.calls.erase(ended);
}

auto lost_answer_detector::take_lost(time_point now)
    -> std::vector<std::uint64_t> {
  auto out = std::vector<std::uint64_t>{};
  skip_pause(now);
  for (auto& [name, x] : classes_) take_lost(x, now, out);
  for (const auto call : out) on_ended(call);
  return out;
}

void lost_answer_detector::skip_pause(time_point now) {
  const auto pause = now - std::exchange(last_check_, now);
  if (pause <= options_.max_check_interval) return;
  for (auto& [name, x] : classes_) {
    for (auto& [call, running] : x.calls) {
      running.started = std::min(running.started + pause, now);
    }
  }
}

void lost_answer_detector::take_lost(class_state& x, time_point now,
                                     std::vector<std::uint64_t>& out) {
  if (x.slowest_before.ms <= 0) return;
  const auto slowest = std::max(x.slowest, x.slowest_before);
  const auto limit =
      std::max(slowest * options_.slowest_multiple, options_.min_silence);
  auto running_later = x.calls.size();
  for (const auto& [call, running] : x.calls) {
    // Calls are in the order of their start, so the others are younger.
    if (now - running.started <= limit) return;
    --running_later;
    const auto started_later = x.started - running.started_before - 1;
    const auto least = static_cast<std::uint64_t>(options_.min_later_answers);
    if (started_later >= running_later + running.later_unanswered + least) {
      out.push_back(call);
    }
  }
}

}  // namespace figwind
