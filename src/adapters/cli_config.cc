// Commands `config check`, `config show` and `config apply`.

#include <openssl/rand.h>

#include <array>
#include <cstdio>
#include <deque>
#include <map>

#include "adapters/cli_commands.h"
#include "adapters/findings_json.h"
#include "adapters/load.h"
#include "figwind/fleet_settings.h"
#include "figwind/ini.h"
#include "figwind/workload.h"

namespace figwind::cli {
namespace {

constexpr auto request_digits = std::size_t{32};

/// 128 random bits as 32 hex digits.
auto new_request() -> std::string {
  auto bytes = std::array<unsigned char, request_digits / 2>{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) return "";
  constexpr auto digits = "0123456789abcdef";
  auto text = std::string{};
  for (auto byte : bytes) {
    text += digits[byte >> 4U];
    text += digits[byte & 15U];
  }
  return text;
}

auto is_request(const std::string& text) -> bool {
  return text.size() == request_digits &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

/// Value of an entry, or null when there is none.
auto find_entry(const ini_file& file, const std::string& section,
                const std::string& key) -> const std::string* {
  for (const auto& x : file.sections) {
    if (x.name != section) continue;
    for (const auto& entry : x.entries) {
      if (entry.key == key) return &entry.value;
    }
  }
  return nullptr;
}

/// The role that the settings of a process of the fleet are for: one with a
/// data folder is a control member.
auto fleet_role_of(const ini_file& file) -> fleet_role {
  const auto* folder = find_entry(file, "control", "data-folder");
  const auto is_control = folder != nullptr && !folder->empty();
  return is_control ? fleet_role::control : fleet_role::node;
}

/// A file with a section [process] is a settings file; only those of the fleet
/// name a port for links.
auto check_text(const std::string& name, const std::string& text,
                std::string& kind) -> findings {
  const auto file = read_ini(name, text);
  if (find_entry(file, "process", "link-port") != nullptr) {
    kind = "fleet settings";
    return errors(parse_fleet_settings(file, fleet_role_of(file)));
  }
  kind = "workload";
  for (const auto& section : file.sections) {
    if (section.name == "process") kind = "settings";
  }
  return kind == "settings" ? errors(parse_process_settings(file))
                            : errors(parse_workload(file));
}

/// One change on its way to the control members. It is sent to one address
/// after the other with the same request id until an answer settles it.
class apply_run {
 public:
  apply_run(const context& cx, std::string text, std::uint64_t base,
            std::string request, std::map<std::string, std::string> headers)
      : cx_{cx},
        text_{std::move(text)},
        base_{base},
        request_{std::move(request)},
        headers_{std::move(headers)} {
    headers_["Figwind-Request"] = request_;
    headers_["Figwind-Base"] = std::to_string(base_);
    headers_["Figwind-Author"] = cx_.given.author;
  }

  auto run() -> outcome {
    // The second round only follows a lost answer.
    for (auto round = 0; round < 2; ++round) {
      if (round > 0 && !lost_) break;
      next_.assign(cx_.given.servers.begin(), cx_.given.servers.end());
      while (!next_.empty()) {
        auto address = next_.front();
        next_.pop_front();
        if (auto settled = try_address(address)) return *settled;
      }
    }
    return lost_ ? end_unknown() : end_refused();
  }

 private:
  auto try_address(const vm_address& address) -> std::optional<outcome> {
    constexpr auto max_tries = 3;
    if (++tries_[address] > max_tries) return std::nullopt;
    auto got = send({"POST", address, "/v1/config", headers_, text_,
                     "text/plain; charset=utf-8"},
                    cx_.given.timeout);
    if (const auto* none = std::get_if<no_answer>(&got)) {
      note(address, none->reason);
      if (none->may_have_arrived) lost_ = true;
      return std::nullopt;
    }
    return settle(address, std::get<http_answer>(got));
  }

  auto settle(const vm_address& address, const http_answer& answer)
      -> std::optional<outcome> {
    auto parsed = parse_object(answer.body);
    auto body = parsed.value_or(json::object());
    switch (answer.status) {
      case 200:
        if (number_at(body, "version") != 0) return end_done(body);
        note(address, "the answer is damaged");
        lost_ = true;
        return std::nullopt;
      case 400:
        return end_findings(body);
      case 401:
        note(address, "refused the token");
        // An earlier lost answer may have been an acceptance.
        if (lost_) return std::nullopt;
        return fail(
            cx_, outcome::refused,
            address.value + " refused the token of " + cx_.given.token_file);
      case 409:
        return end_conflict(body);
      case 421:
        follow_leader(address, text_at(body, "leader"));
        return std::nullopt;
      case 503:
        note(address, text_at(body, "reason", "accepts no changes"));
        return std::nullopt;
      default:
        note(address, "status " + std::to_string(answer.status));
        if (answer.status >= 500) lost_ = true;
        return std::nullopt;
    }
  }

  void follow_leader(const vm_address& address, const std::string& leader) {
    if (leader.empty()) {
      note(address, "knows no leader");
      return;
    }
    note(address, "the leader is " + leader);
    next_.push_front({leader});
  }

  auto end_done(const json& body) -> outcome {
    auto version = number_at(body, "version");
    if (cx_.given.json) {
      auto line = json{{"outcome", "done"},
                       {"version", version},
                       {"base", base_},
                       {"request", request_}};
      cx_.out << line.dump() << "\n";
    } else {
      cx_.out << "accepted as version " << version << "\n";
    }
    return outcome::done;
  }

  auto end_findings(const json& body) -> outcome {
    auto all = parse_findings(body.value("findings", json::array()));
    if (all.empty()) all.push_back({{}, "the change was refused as damaged"});
    return fail(cx_, all);
  }

  auto end_conflict(const json& body) -> outcome {
    return fail(cx_, outcome::refused,
                "conflict: version " + std::to_string(base_) +
                    " is no longer in force; version " +
                    std::to_string(number_at(body, "version")) + " is by " +
                    text_at(body, "author", "an unknown author") +
                    "; look at it with: figwind config show " +
                    servers_flag(cx_));
  }

  auto end_refused() -> outcome {
    auto any = false;
    for (const auto& [address, reason] : notes_) {
      any = any || reason != "no connection";
    }
    return fail(cx_, any ? outcome::refused : outcome::unknown,
                "not applied, no control member accepted it:" + all_notes());
  }

  auto end_unknown() -> outcome {
    auto command = "figwind config apply " + cx_.given.words[2];
    command += " --request " + request_;
    command += " --base " + std::to_string(base_);
    command += " --author '" + cx_.given.author + "'";
    command += " --token_file " + cx_.given.token_file;
    command += " " + servers_flag(cx_);
    return fail(
        cx_, outcome::unknown,
        "outcome unknown, the change may have been accepted:" + all_notes() +
            "\nthis sends the same change again and gets its first "
            "answer:\n  " +
            command);
  }

  void note(const vm_address& address, const std::string& reason) {
    notes_.emplace_back(address.value, reason);
  }

  auto all_notes() const -> std::string {
    auto text = std::string{};
    for (const auto& [address, reason] : notes_) {
      text.append("\n  ").append(address).append(": ").append(reason);
    }
    return text;
  }

  const context& cx_;
  std::string text_;
  std::uint64_t base_;
  std::string request_;
  std::map<std::string, std::string> headers_;
  std::deque<vm_address> next_;
  std::map<vm_address, int> tries_;
  std::vector<std::pair<std::string, std::string>> notes_;
  /// An answer was lost after the request may have arrived.
  bool lost_ = false;
};

auto read_base(const context& cx) -> std::optional<std::uint64_t> {
  if (cx.given.base) return cx.given.base;
  auto reasons = std::string{};
  auto shown = read_any(cx, "/v1/config", reasons);
  if (!shown) {
    fail(cx, outcome::unknown,
         "nothing was sent, no member tells the version in force:" + reasons);
    return std::nullopt;
  }
  return number_at(shown->body, "version");
}

}  // namespace

auto config_check(const context& cx) -> outcome {
  const auto& path = cx.given.words[2];
  auto text = load_text(path);
  if (!ok(text)) return fail(cx, errors(text));
  auto kind = std::string{};
  auto found = check_text(path, value(text), kind);
  if (!found.empty()) return fail(cx, found);
  if (cx.given.json) {
    cx.out << json{{"outcome", "done"}, {"kind", kind}}.dump() << "\n";
  } else {
    cx.out << path << ": no findings, a valid " << kind << " file\n";
  }
  return outcome::done;
}

auto config_show(const context& cx) -> outcome {
  auto reasons = std::string{};
  auto shown = read_any(cx, "/v1/config", reasons);
  if (!shown) {
    return fail(
        cx, outcome::unknown,
        "no control member answered, repeat with other --servers:" + reasons);
  }
  if (cx.given.json) {
    cx.out << shown->body.dump() << "\n";
    return outcome::done;
  }
  cx.out << "; version " << number_at(shown->body, "version") << " by "
         << text_at(shown->body, "author", "nobody") << "\n"
         << text_at(shown->body, "text");
  return outcome::done;
}

auto config_apply(const context& cx) -> outcome {
  const auto& path = cx.given.words[2];
  auto text = load_text(path);
  if (!ok(text)) return fail(cx, errors(text));
  auto checked = parse_workload(path, value(text));
  if (!ok(checked)) return fail(cx, errors(checked));
  auto headers = authorization(cx);
  if (!ok(headers)) return fail(cx, errors(headers));
  auto request = cx.given.request.empty() ? new_request() : cx.given.request;
  if (!is_request(request)) {
    return fail(cx, outcome::usage, "--request takes 32 hex digits");
  }
  if (cx.given.author.empty() || !is_header_text(cx.given.author)) {
    return fail(cx, outcome::usage, "--author takes a name");
  }
  auto base = read_base(cx);
  if (!base) return outcome::unknown;
  if (!cx.given.json) {
    cx.out << "request " << request << "\nedits version " << *base << "\n"
           << std::flush;
  }
  return apply_run{cx, value(text), *base, request, value(headers)}.run();
}

}  // namespace figwind::cli
