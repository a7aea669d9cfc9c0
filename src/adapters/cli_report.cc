// Command `report`.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>

#include "adapters/burn_json.h"
#include "adapters/cli_commands.h"
#include "adapters/cli_html.h"

namespace figwind::cli {
namespace {

auto now() -> time_point {
  using clock = std::chrono::system_clock;
  using ms = std::chrono::duration<double, std::milli>;
  return {ms{clock::now().time_since_epoch()}.count()};
}

/// Counts from every address; those without a usable answer are missing.
auto gather(const context& cx) -> burn_body {
  auto all = burn_body{};
  for (const auto& address : cx.given.servers) {
    auto got = send({"GET", address, "/v1/burn"}, cx.given.timeout);
    const auto* answer = std::get_if<http_answer>(&got);
    if (answer == nullptr || answer->status != 200) {
      all.missing.push_back(address.value);
      continue;
    }
    auto part = parse_burn_body(answer->body);
    if (!ok(part)) {
      cx.err << "figwind: " << address.value << ": " << to_string(errors(part));
      all.missing.push_back(address.value);
      continue;
    }
    all.set = merge(std::move(all.set), value(part).set);
    const auto& missing = value(part).missing;
    all.missing.insert(all.missing.end(), missing.begin(), missing.end());
  }
  std::sort(all.missing.begin(), all.missing.end());
  all.missing.erase(std::unique(all.missing.begin(), all.missing.end()),
                    all.missing.end());
  return all;
}

auto rate_text(double rate) -> std::string {
  auto buffer = std::array<char, 32>{};
  std::snprintf(buffer.data(), buffer.size(), "%.2f", rate);
  return buffer.data();
}

auto slash(std::uint64_t a, std::uint64_t b) -> std::string {
  return std::to_string(a) + "/" + std::to_string(b);
}

void print_burn(const context& cx, const report_page& page) {
  auto rows = std::vector<std::vector<std::string>>{
      {"CLASS", "TARGET", "MET 1H", "MET 30D", "BURN 5MIN", "BURN 1H",
       "BURN 30D", "LEFT", "RUNS OUT IN", "RETRIES 1H", "MAX RETRIES",
       "ALARM"}};
  for (const auto& x : page.classes) {
    const auto& hour = x.long_window.counts;
    rows.push_back(
        {x.target.name.value, to_percent_text(x.target.success_target.value),
         to_percent_text(x.long_window.share_met),
         to_percent_text(x.period.share_met),
         rate_text(x.short_window.burn_rate),
         rate_text(x.long_window.burn_rate), rate_text(x.period.burn_rate),
         to_percent_text(x.budget_left), to_span_text(x.exhausted_in),
         slash(hour.retries, hour.retries_allowed),
         slash(hour.retries_max, hour.retry_bound), to_string(x.alarm)});
  }
  print_table(cx.out, rows);
}

void print_refusals(const context& cx, const report_page& page) {
  auto rows = std::vector<std::vector<std::string>>{
      {"CLASS", "REFUSED 1H", "REASON", "BY SERVICE"}};
  for (const auto& x : page.classes) {
    for (const auto& [cause, count] : x.long_window.counts.refusals) {
      rows.push_back({x.target.name.value, std::to_string(count),
                      to_string(cause.reason), cause.service.value});
    }
  }
  if (rows.size() == 1) return;
  cx.out << "\n";
  print_table(cx.out, rows);
}

auto write_page(const context& cx, const report_page& page) -> outcome {
  auto file = std::ofstream{cx.given.html, std::ios::binary};
  file << to_html(page);
  file.close();
  if (!file) {
    return fail(cx, outcome::refused, cx.given.html + " cannot be written");
  }
  cx.err << "wrote " << cx.given.html << "\n";
  return outcome::done;
}

}  // namespace

auto report(const context& cx) -> outcome {
  auto reasons = std::string{};
  auto shown = read_any(cx, "/v1/config", reasons);
  if (!shown) {
    return fail(cx, outcome::unknown,
                "no control member tells the targets, repeat with other "
                "--servers:" +
                    reasons);
  }
  auto targets = parse_workload("configuration", text_at(shown->body, "text"));
  if (!ok(targets)) return fail(cx, errors(targets));
  auto body = gather(cx);
  auto page = report_page{};
  page.made_at = now();
  page.version = {number_at(shown->body, "version")};
  page.missing = body.missing;
  page.classes = evaluate_burn(body.set, value(targets), page.made_at);
  if (cx.given.json) {
    auto all = json{{"version", page.version.value},
                    {"made_at_ms", static_cast<std::uint64_t>(page.made_at.ms)},
                    {"nodes", body.set.nodes.size()},
                    {"missing", page.missing},
                    {"classes", to_json(page.classes)}};
    cx.out << all.dump() << "\n";
  } else if (cx.given.html.empty()) {
    print_burn(cx, page);
    print_refusals(cx, page);
    for (const auto& x : page.missing) cx.out << "no counts from " << x << "\n";
  }
  if (!cx.given.html.empty()) return write_page(cx, page);
  return outcome::done;
}

}  // namespace figwind::cli
