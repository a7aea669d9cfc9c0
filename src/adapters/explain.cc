#include "adapters/explain.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <utility>

namespace figwind {
namespace {

using json = nlohmann::ordered_json;

auto text_of(const json& x, const char* key) -> std::string {
  const auto found = x.find(key);
  if (found == x.end()) return {};
  return found->is_string() ? found->get<std::string>() : found->dump();
}

/// Text before the object, without the time that some tools put first.
auto source_of(const std::string& before, const std::string& otherwise)
    -> std::string {
  auto in = std::istringstream{before};
  auto last = std::string{};
  for (auto word = std::string{}; in >> word;) last = word;
  return last.empty() ? otherwise : last;
}

auto read(const log_text& log, std::vector<story_line>& out) -> void {
  auto in = std::istringstream{log.text};
  for (auto line = std::string{}; std::getline(in, line);) {
    const auto start = line.find('{');
    if (start == std::string::npos) continue;
    // Most lines are of other requests, and parsing is slow.
    if (line.find("\"request\":", start) == std::string::npos) continue;
    auto fields = json::parse(line.substr(start), nullptr, false);
    if (!fields.is_object()) continue;
    const auto time = fields.find("time_ms");
    const auto ms = time != fields.end() && time->is_number()
                        ? time->get<std::int64_t>()
                        : std::int64_t{0};
    out.push_back(
        {ms, source_of(line.substr(0, start), log.name), 0, std::move(fields)});
  }
}

/// Depth of each call in the chain of `id`.
auto chain_of(const std::string& id, const std::vector<story_line>& all)
    -> std::map<std::string, int> {
  auto children = std::multimap<std::string, std::string>{};
  for (const auto& x : all) {
    const auto parent = text_of(x.fields, "parent");
    if (!parent.empty()) {
      children.emplace(parent, text_of(x.fields, "request"));
    }
  }
  auto depths = std::map<std::string, int>{{id, 0}};
  auto open = std::vector<std::string>{id};
  while (!open.empty()) {
    const auto parent = open.back();
    open.pop_back();
    const auto [first, last] = children.equal_range(parent);
    for (auto at = first; at != last; ++at) {
      const auto depth = depths.at(parent) + 1;
      if (depths.emplace(at->second, depth).second) open.push_back(at->second);
    }
  }
  return depths;
}

auto describe(const story_line& x) -> std::string {
  const auto& f = x.fields;
  auto out = "call " + text_of(f, "request") + " of " + text_of(f, "route");
  const auto event = text_of(f, "event");
  if (event == "call_refused") {
    return out + " was refused at " + x.source + ": " + text_of(f, "reason") +
           ", " + text_of(f, "running") + " running and " +
           text_of(f, "queued") + " queued";
  }
  if (event == "backend_gave_no_answer") {
    const auto problem = text_of(f, "problem");
    return out + " got no answer from server " + text_of(f, "server") + ": " +
           text_of(f, "end") + ", status " + text_of(f, "status") +
           (problem.empty() ? "" : ", " + problem);
  }
  return out + " ended at " + x.source + " with " + text_of(f, "end") +
         ", reason " + text_of(f, "reason") + ", status " +
         text_of(f, "status");
}

/// How the call with the deepest failure ended, and what a server node or a
/// backend server did last for it.
auto deepest_failure(const std::vector<story_line>& lines) -> std::string {
  const story_line* end = nullptr;
  for (const auto& x : lines) {
    if (text_of(x.fields, "event") != "request_failed") continue;
    if (end == nullptr || x.depth >= end->depth) end = &x;
  }
  if (end == nullptr) return {};
  const auto id = text_of(end->fields, "request");
  const story_line* last = nullptr;
  for (const auto& x : lines) {
    const auto event = text_of(x.fields, "event");
    const auto tells =
        event == "call_refused" || event == "backend_gave_no_answer";
    if (tells && text_of(x.fields, "request") == id) last = &x;
  }
  return describe(*end) + (last == nullptr ? "" : "; " + describe(*last));
}

auto cause_of(const std::vector<story_line>& lines) -> std::string {
  auto event = std::string{};
  auto status = std::string{};
  for (const auto& x : lines) {
    const auto name = text_of(x.fields, "event");
    if (x.depth > 0 || name == "request_sent") continue;
    if (name == "call_refused" || name == "backend_gave_no_answer") continue;
    event = name;
    status = text_of(x.fields, "status");
  }
  if (event.empty()) return "no line tells how the request ended";
  if (event == "request_answered") return "answered with " + status;
  if (event == "caller_left") return "the caller left first";
  if (event == "request_without_route") return "no route allows the request";
  return deepest_failure(lines);
}

}  // namespace

auto explain(const std::string& id, const std::vector<log_text>& logs)
    -> story {
  auto all = std::vector<story_line>{};
  for (const auto& log : logs) read(log, all);
  const auto depths = chain_of(id, all);
  auto out = story{};
  for (auto& x : all) {
    const auto found = depths.find(text_of(x.fields, "request"));
    if (found == depths.end()) continue;
    x.depth = found->second;
    out.lines.push_back(std::move(x));
  }
  std::stable_sort(out.lines.begin(), out.lines.end(),
                   [](const story_line& a, const story_line& b) {
                     return a.time_ms < b.time_ms;
                   });
  if (!out.lines.empty()) out.cause = cause_of(out.lines);
  return out;
}

}  // namespace figwind
