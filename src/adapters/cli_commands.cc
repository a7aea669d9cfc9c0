#include "adapters/cli_commands.h"

#include <algorithm>
#include <array>
#include <utility>

#include "adapters/findings_json.h"
#include "adapters/token.h"

namespace figwind::cli {

auto fail(const context& cx, outcome code, const std::string& message)
    -> outcome {
  cx.err << "figwind: " << message << "\n";
  if (cx.given.json) {
    static constexpr auto names =
        std::array{"done", "refused", "usage", "unknown"};
    auto line = json{{"outcome", names.at(static_cast<std::size_t>(code))},
                     {"message", message}};
    cx.out << line.dump(-1, ' ', false, json::error_handler_t::replace) << "\n";
  }
  return code;
}

auto fail(const context& cx, const findings& all) -> outcome {
  cx.err << to_string(all);
  if (cx.given.json) {
    cx.out << json{{"outcome", "refused"}, {"findings", to_json(all)}}.dump(
                  -1, ' ', false, json::error_handler_t::replace)
           << "\n";
  }
  return outcome::refused;
}

auto parse_object(const std::string& text) -> std::optional<json> {
  auto x = json::parse(text, nullptr, false);
  if (!x.is_object()) return std::nullopt;
  return x;
}

auto text_at(const json& x, const std::string& key,
             const std::string& otherwise) -> std::string {
  auto found = x.find(key);
  if (found == x.end() || !found->is_string()) return otherwise;
  return found->get<std::string>();
}

auto number_at(const json& x, const std::string& key) -> std::uint64_t {
  auto found = x.find(key);
  if (found == x.end() || !found->is_number_unsigned()) return 0;
  return found->get<std::uint64_t>();
}

auto flag_at(const json& x, const std::string& key) -> bool {
  auto found = x.find(key);
  return found != x.end() && found->is_boolean() && found->get<bool>();
}

auto list_at(const json& x, const std::string& key) -> json {
  auto found = x.find(key);
  if (found == x.end() || !found->is_array()) return json::array();
  auto list = json::array();
  std::copy_if(found->begin(), found->end(), std::back_inserter(list),
               [](const json& item) { return item.is_object(); });
  return list;
}

auto read_any(const context& cx, const std::string& path, std::string& reasons)
    -> std::optional<read_answer> {
  auto isolated = std::optional<read_answer>{};
  for (const auto& address : cx.given.servers) {
    auto got = send({"GET", address, path}, cx.given.timeout);
    auto note = [&](const std::string& reason) {
      reasons += "\n  " + address.value + ": " + reason;
    };
    if (const auto* lost = std::get_if<no_answer>(&got)) {
      note(lost->reason);
      continue;
    }
    const auto& answer = std::get<http_answer>(got);
    auto body = parse_object(answer.body);
    if (answer.status != 200) {
      note("status " + std::to_string(answer.status));
    } else if (!body) {
      note("the answer is damaged");
    } else if (!flag_at(*body, "isolated")) {
      return read_answer{address, std::move(*body)};
    } else if (!isolated) {
      isolated = read_answer{address, std::move(*body)};
    }
  }
  if (isolated) {
    cx.err << "figwind: " << isolated->from.value
           << " is isolated, what it knows may be old\n";
  }
  return isolated;
}

auto authorization(const context& cx)
    -> result<std::map<std::string, std::string>> {
  if (cx.given.token_file.empty()) {
    return findings{{{}, "changes need a token, give --token_file FILE"}};
  }
  auto token = read_token(cx.given.token_file);
  if (!ok(token)) return errors(token);
  return std::map<std::string, std::string>{
      {"Authorization", "Bearer " + value(token)}};
}

auto is_header_text(const std::string& text) -> bool {
  constexpr auto max_bytes = std::size_t{256};
  return text.size() <= max_bytes &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c >= 0x20 && c != 0x7f; });
}

auto servers_flag(const context& cx) -> std::string {
  auto text = std::string{"--servers "};
  for (const auto& address : cx.given.servers) {
    if (text.back() != ' ') text += ",";
    text += address.value;
  }
  return text;
}

void print_table(std::ostream& out,
                 const std::vector<std::vector<std::string>>& rows) {
  auto widths = std::vector<std::size_t>{};
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : rows) {
    auto line = std::string{};
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << "\n";
  }
}

}  // namespace figwind::cli
