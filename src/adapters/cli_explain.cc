#include <fstream>
#include <iterator>

#include "adapters/cli_commands.h"
#include "adapters/explain.h"

namespace figwind::cli {
namespace {

auto to_json(const story& x) -> json {
  auto lines = json::array();
  for (const auto& line : x.lines) {
    auto item = line.fields;
    item["source"] = line.source;
    item["depth"] = line.depth;
    lines.push_back(std::move(item));
  }
  return {{"cause", x.cause}, {"lines", std::move(lines)}};
}

/// Fields that the other columns do not show.
auto details(const json& fields) -> std::string {
  auto out = std::string{};
  for (const auto& [key, value] : fields.items()) {
    const auto shown = key == "time_ms" || key == "level" || key == "process" ||
                       key == "event" || key == "request" || key == "parent";
    if (shown) continue;
    const auto text =
        value.is_string() ? value.get<std::string>() : value.dump();
    if (!out.empty()) out += " ";
    out.append(key).append("=").append(text);
  }
  return out;
}

void print(std::ostream& out, const story& x) {
  const auto start = x.lines.front().time_ms;
  auto rows = std::vector<std::vector<std::string>>{
      {"MS", "SOURCE", "EVENT", "DETAILS"}};
  for (const auto& line : x.lines) {
    const auto indent =
        std::string(static_cast<std::size_t>(line.depth) * 2, ' ');
    rows.push_back({std::to_string(line.time_ms - start), line.source,
                    indent + text_at(line.fields, "event"),
                    details(line.fields)});
  }
  print_table(out, rows);
  out << "\n" << x.cause << "\n";
}

}  // namespace

auto explain(const context& cx) -> outcome {
  const auto& words = cx.given.words;
  auto logs = std::vector<log_text>{};
  for (auto i = std::size_t{2}; i < words.size(); ++i) {
    auto file = std::ifstream{words[i], std::ios::binary};
    if (!file) return fail(cx, outcome::usage, "cannot read " + words[i]);
    logs.push_back({words[i], {std::istreambuf_iterator<char>{file}, {}}});
  }
  const auto found = figwind::explain(words[1], logs);
  if (found.lines.empty()) {
    return fail(cx, outcome::refused, "no line names request " + words[1]);
  }
  if (cx.given.json) {
    cx.out << to_json(found).dump(-1, ' ', false,
                                  json::error_handler_t::replace)
           << "\n";
  } else {
    print(cx.out, found);
  }
  return outcome::done;
}

}  // namespace figwind::cli
