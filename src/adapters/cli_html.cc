#include "adapters/cli_html.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <ctime>

namespace figwind::cli {
namespace {

constexpr auto style = R"(
body{font:15px/1.5 system-ui,sans-serif;margin:2em auto;max-width:62em;
padding:0 1em;color:#1b1f24}
table{border-collapse:collapse;width:100%;font-variant-numeric:tabular-nums}
th,td{text-align:right;padding:.3em .6em;border-bottom:1px solid #d5dae0}
th:first-child,td:first-child{text-align:left}
.fast{color:#a40e26;font-weight:600}.slow{color:#8a5a00;font-weight:600}
section{margin-top:2em}svg{width:100%;height:auto;background:#f7f9fb}
.note{color:#57606a}
)";

auto escape(const std::string& text) -> std::string {
  auto safe = std::string{};
  for (auto c : text) {
    switch (c) {
      case '&':
        safe += "&amp;";
        break;
      case '<':
        safe += "&lt;";
        break;
      case '>':
        safe += "&gt;";
        break;
      case '"':
        safe += "&quot;";
        break;
      default:
        safe += c;
    }
  }
  return safe;
}

auto number(double x, const char* format = "%.1f") -> std::string {
  auto buffer = std::array<char, 64>{};
  std::snprintf(buffer.data(), buffer.size(), format, x);
  return buffer.data();
}

auto element(const std::string& name, const std::string& content)
    -> std::string {
  return "<" + name + ">" + content + "</" + name + ">";
}

auto alarm_cell(burn_alarm alarm) -> std::string {
  auto name = to_string(alarm);
  return "<td class=\"" + name + "\">" + name + "</td>";
}

auto summary_row(const class_burn_report& x) -> std::string {
  return "<tr>" + element("td", escape(x.target.name.value)) +
         element("td", std::to_string(x.target.importance)) +
         element("td", to_percent_text(x.target.success_target.value)) +
         element("td", to_percent_text(x.long_window.share_met)) +
         element("td", to_percent_text(x.period.share_met)) +
         element("td", number(x.short_window.burn_rate)) +
         element("td", number(x.long_window.burn_rate)) +
         element("td", to_percent_text(x.budget_left)) +
         element("td", to_span_text(x.exhausted_in)) + alarm_cell(x.alarm) +
         "</tr>\n";
}

auto summary_table(const report_page& page) -> std::string {
  auto text = std::string{"<table><thead><tr>"};
  for (const auto* head :
       {"Class", "Importance", "Target", "Met 1 h", "Met 30 days", "Burn 5 min",
        "Burn 1 h", "Left of 30 days", "Runs out in", "Alarm"}) {
    text += element("th", head);
  }
  text += "</tr></thead><tbody>\n";
  for (const auto& x : page.classes) text += summary_row(x);
  return text + "</tbody></table>\n";
}

/// Burn rates span from below 1 to 1000, so the axis is logarithmic from 0.1.
struct plot_area {
  double left = 50;
  double top = 15;
  double width = 720;
  double height = 130;

  auto x(double share) const -> double { return left + share * width; }
  auto y(double rate) const -> double {
    constexpr auto low = -1.0;
    constexpr auto high = 3.0;
    auto at = std::log10(std::clamp(rate, 0.1, 1000.0));
    return top + height * (high - at) / (high - low);
  }
};

auto level_line(const plot_area& area, double rate, const std::string& label,
                const std::string& colour) -> std::string {
  auto y = number(area.y(rate));
  return "<line x1=\"" + number(area.x(0)) + "\" x2=\"" + number(area.x(1)) +
         "\" y1=\"" + y + "\" y2=\"" + y + "\" stroke=\"" + colour +
         "\" stroke-dasharray=\"4 3\"/><text x=\"" + number(area.left - 6) +
         "\" y=\"" + number(area.y(rate) + 4) +
         "\" font-size=\"11\" text-anchor=\"end\">" + label + "</text>\n";
}

auto burn_plot(const class_burn_report& x) -> std::string {
  auto area = plot_area{};
  auto text = "<svg viewBox=\"0 0 800 175\" role=\"img\"><title>Burn rate of " +
              escape(x.target.name.value) +
              " in steps of 5 min over the last hour</title>\n" +
              level_line(area, fast_burn_rate, "14.4", "#a40e26") +
              level_line(area, 1, "1", "#8a5a00") +
              level_line(area, 0.1, "0.1", "#d5dae0");
  auto count = static_cast<double>(x.points.size());
  auto bar = area.width / std::max(1.0, count);
  auto index = 0.0;
  for (const auto& point : x.points) {
    auto y = area.y(point.burn_rate);
    auto left = area.left + bar * index++;
    text += "<rect x=\"" + number(left + bar * 0.1) + "\" y=\"" + number(y) +
            "\" width=\"" + number(bar * 0.8) + "\" height=\"" +
            number(std::max(1.0, area.y(0.1) - y)) +
            "\" fill=\"#2f6fab\"><title>" + to_utc_text(point.start) + ": " +
            number(point.burn_rate, "%.2f") + " at " +
            std::to_string(point.requests) + " requests</title></rect>\n";
  }
  if (!x.points.empty()) {
    text += "<text x=\"50\" y=\"165\" font-size=\"11\">" +
            to_utc_text(x.points.front().start) + "</text>\n";
  }
  return text + "</svg>\n";
}

auto refusal_list(const class_burn_report& x) -> std::string {
  if (x.long_window.counts.refusals.empty()) return "";
  auto text = std::string{"<p>Refusals of the last hour: "};
  auto separator = std::string{};
  for (const auto& [cause, count] : x.long_window.counts.refusals) {
    text += separator + std::to_string(count) + " " + to_string(cause.reason);
    if (!cause.service.value.empty()) {
      text += " by " + escape(cause.service.value);
    }
    separator = ", ";
  }
  return text + ".</p>\n";
}

auto class_section(const class_burn_report& x) -> std::string {
  const auto& hour = x.long_window.counts;
  return "<section><h2>" + escape(x.target.name.value) + "</h2>\n<p>" +
         std::to_string(x.long_window.requests) +
         " requests in the last hour; " + std::to_string(hour.late) +
         " late, " + std::to_string(hour.failed) + " failed, " +
         std::to_string(hour.unknown) + " unknown, " +
         std::to_string(hour.refused) + " refused. Half were answered within " +
         number(x.long_window.p50.ms, "%.0f") + " ms, 99 in 100 within " +
         number(x.long_window.p99.ms, "%.0f") + " ms; the target is " +
         number(x.target.latency_target.ms, "%.0f") +
         " ms. Retries: " + std::to_string(hour.retries) + " of " +
         std::to_string(hour.retries_allowed) + " allowed, at most " +
         std::to_string(hour.retries_max) + " of " +
         std::to_string(hour.retry_bound) + " for one request.</p>\n" +
         refusal_list(x) + burn_plot(x) + "</section>\n";
}

}  // namespace

auto to_utc_text(time_point at) -> std::string {
  auto seconds = static_cast<std::time_t>(at.ms / 1000);
  auto parts = std::tm{};
  if (::gmtime_r(&seconds, &parts) == nullptr) return "";
  auto buffer = std::array<char, 32>{};
  auto size =
      std::strftime(buffer.data(), buffer.size(), "%Y-%m-%d %H:%M UTC", &parts);
  return {buffer.data(), size};
}

auto to_span_text(duration span) -> std::string {
  if (!std::isfinite(span.ms)) return "never";
  if (span.ms <= 0) return "spent";
  auto hours = span / minutes(60);
  if (hours >= 48) return number(hours / 24) + " days";
  if (hours >= 2) return number(hours) + " h";
  return number(span / minutes(1), "%.0f") + " min";
}

auto to_percent_text(double share) -> std::string {
  // Rounding up would show a missed target as met.
  constexpr auto steps = 1000.0;
  auto percent = std::floor(share * 100 * steps + 1e-6) / steps;
  return percent == 100 ? "100%" : number(percent, "%.3f") + "%";
}

auto to_html(const report_page& page) -> std::string {
  auto text =
      std::string{
          "<!doctype html>\n<html lang=\"en\"><head>"
          "<meta charset=\"utf-8\"><title>figwind: "
          "service-level burn</title><style>"} +
      style + "</style></head><body>\n<h1>Service-level burn</h1>\n" +
      "<p class=\"note\">Made " + to_utc_text(page.made_at) +
      " with the targets of version " + std::to_string(page.version.value) +
      ". A burn rate of 1 spends the allowed failures exactly within "
      "30 days; 14.4 over 5 min and 1 h raises the fast alarm.</p>\n";
  for (const auto& address : page.missing) {
    text += "<p class=\"fast\">No counts from " + escape(address) + ".</p>\n";
  }
  text += summary_table(page);
  for (const auto& x : page.classes) text += class_section(x);
  return text + "</body></html>\n";
}

}  // namespace figwind::cli
