#include "adapters/burn_json.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace figwind {
namespace {

using json = nlohmann::ordered_json;
/// Read without keeping the order of keys, which makes look-ups linear.
using parsed_json = nlohmann::json;

/// Every counter of `burn_counts` with its name; zeros are left out of the
/// text, which makes up most of a report.
template <class Counts, class Visit>
void each_counter(Counts& x, Visit visit) {
  visit("met", x.met);
  visit("late", x.late);
  visit("failed", x.failed);
  visit("unknown", x.unknown);
  visit("refused", x.refused);
  visit("retries", x.retries);
  visit("retries_allowed", x.retries_allowed);
  visit("retries_max", x.retries_max);
  visit("retry_bound", x.retry_bound);
}

auto counts_to_json(const burn_counts& x) -> json {
  auto to = json::object();
  each_counter(x, [&](const char* name, std::uint64_t count) {
    if (count != 0) to[name] = count;
  });
  for (const auto& [bucket, count] : x.latency) {
    to["latency"].push_back({bucket, count});
  }
  for (const auto& [cause, count] : x.refusals) {
    to["refusals"].push_back(
        {to_string(cause.reason), cause.service.value, count});
  }
  return to;
}

auto slots_to_json(const burn_slots& slots) -> json {
  auto all = json::object();
  for (const auto& [number, counts] : slots) {
    all[std::to_string(number)] = counts_to_json(counts);
  }
  return all;
}

auto parse_refusal(const std::string& text) -> refusal {
  for (auto i = 0; i <= static_cast<int>(refusal::malformed); ++i) {
    auto reason = static_cast<refusal>(i);
    if (to_string(reason) == text) return reason;
  }
  return refusal::none;
}

auto count_of(const parsed_json& x) -> std::uint64_t {
  // The library would wrap a negative number without an error.
  if (!x.is_number_unsigned()) throw std::invalid_argument{"not a count"};
  return x.get<std::uint64_t>();
}

auto parse_counts(const parsed_json& from) -> burn_counts {
  auto x = burn_counts{};
  each_counter(x, [&](const char* name, std::uint64_t& count) {
    auto found = from.find(name);
    if (found != from.end()) count = count_of(*found);
  });
  if (auto found = from.find("latency"); found != from.end()) {
    for (const auto& pair : *found) {
      auto bucket =
          std::min<std::uint64_t>(count_of(pair.at(0)), latency_bounds.size());
      x.latency[static_cast<std::uint8_t>(bucket)] += count_of(pair.at(1));
    }
  }
  if (auto found = from.find("refusals"); found != from.end()) {
    for (const auto& row : *found) {
      auto reason = parse_refusal(row.at(0).get<std::string>());
      auto service = service_name{row.at(1).get<std::string>()};
      x.refusals[{reason, service}] += count_of(row.at(2));
    }
  }
  return x;
}

auto parse_slots(const parsed_json& from) -> burn_slots {
  auto slots = burn_slots{};
  for (const auto& [number, counts] : from.items()) {
    slots[std::stoull(number)] = parse_counts(counts);
  }
  return slots;
}

auto parse_node(const parsed_json& from) -> node_burn {
  auto node = node_burn{};
  for (const auto& [name, x] : from.at("classes").items()) {
    node.classes[{name}] = {parse_slots(x.at("minutes")),
                            parse_slots(x.at("fives")),
                            parse_slots(x.at("quarters"))};
  }
  return node;
}

auto node_to_json(const node_id& id, const node_burn& node) -> json {
  auto classes = json::object();
  for (const auto& [name, x] : node.classes) {
    classes[name.value] = {{"minutes", slots_to_json(x.minute_slots)},
                           {"fives", slots_to_json(x.five_minute_slots)},
                           {"quarters", slots_to_json(x.six_hour_slots)}};
  }
  return {{"address", id.address.value},
          {"incarnation", id.start.value},
          {"classes", std::move(classes)}};
}

auto window_to_json(const window_burn_report& x) -> json {
  auto to = json{{"requests", x.requests},
                 {"share_met", x.share_met},
                 {"burn_rate", x.burn_rate},
                 {"p50_ms", x.p50.ms},
                 {"p99_ms", x.p99.ms}};
  each_counter(x.counts, [&](const char* name, std::uint64_t count) {
    to[name] = count;
  });
  to["refusals"] = json::array();
  for (const auto& [cause, count] : x.counts.refusals) {
    to["refusals"].push_back({{"reason", to_string(cause.reason)},
                              {"service", cause.service.value},
                              {"count", count}});
  }
  return to;
}

auto class_to_json(const class_burn_report& x) -> json {
  auto exhausted = json{};
  if (std::isfinite(x.exhausted_in.ms)) exhausted = x.exhausted_in.ms / 1000;
  return {{"class", x.target.name.value},
          {"service", x.target.service.value},
          {"importance", x.target.importance},
          {"latency_target_ms", x.target.latency_target.ms},
          {"success_target", x.target.success_target.value},
          {"alarm", to_string(x.alarm)},
          {"budget_left", x.budget_left},
          {"exhausted_in_s", exhausted},
          {"5min", window_to_json(x.short_window)},
          {"1h", window_to_json(x.long_window)},
          {"30d", window_to_json(x.period)}};
}

}  // namespace

auto to_json_text(const burn_body& x) -> std::string {
  auto nodes = json::array();
  for (const auto& [id, node] : x.set.nodes) {
    nodes.push_back(node_to_json(id, node));
  }
  auto body = json{{"nodes", std::move(nodes)}, {"missing", x.missing}};
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto parse_burn_body(const std::string& text) -> result<burn_body> {
  auto refuse = [](const std::string& reason) {
    return findings{{{}, "the burn report is damaged: " + reason}};
  };
  try {
    auto from = parsed_json::parse(text);
    auto x = burn_body{};
    for (const auto& node : from.at("nodes")) {
      auto id = node_id{{node.at("address").get<std::string>()},
                        {node.at("incarnation").get<std::uint64_t>()}};
      x.set.nodes[id] = parse_node(node);
    }
    x.missing = from.value("missing", std::vector<std::string>{});
    return x;
  } catch (const parsed_json::exception& error) {
    return refuse(error.what());
  } catch (const std::logic_error& error) {
    return refuse(error.what());
  }
}

auto to_json(const std::vector<class_burn_report>& reports)
    -> nlohmann::ordered_json {
  auto all = json::array();
  for (const auto& x : reports) all.push_back(class_to_json(x));
  return all;
}

}  // namespace figwind
