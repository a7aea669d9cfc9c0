// Commands `drain`, `undrain`, `member replace` and `call`.

#include <cctype>
#include <deque>
#include <set>

#include "adapters/call_headers.h"
#include "adapters/cli_commands.h"
#include "adapters/load.h"
#include "figwind/parse.h"

namespace figwind::cli {
namespace {

auto reason_of(const http_answer& answer) -> std::string {
  auto body = parse_object(answer.body).value_or(json::object());
  if (answer.status == 401) return "the token was refused";
  return text_at(body, "reason", "status " + std::to_string(answer.status));
}

auto set_draining(const context& cx, const std::string& action) -> outcome {
  const auto& node = cx.given.words[1];
  if (!parse_address(node)) {
    return fail(cx, outcome::usage, "\"" + node + "\" is not ip:port");
  }
  auto headers = authorization(cx);
  if (!ok(headers)) return fail(cx, errors(headers));
  auto got =
      send({"POST", {node}, "/v1/" + action, value(headers)}, cx.given.timeout);
  auto unknown = [&](const std::string& reason) {
    return fail(cx, outcome::unknown,
                "outcome unknown, " + node + ": " + reason +
                    "; this tells whether it drains:\n  figwind config status "
                    "--servers " +
                    node);
  };
  if (const auto* none = std::get_if<no_answer>(&got)) {
    if (none->may_have_arrived) return unknown(none->reason);
    return fail(cx, outcome::unknown,
                node + ": " + none->reason + "; nothing was sent");
  }
  const auto& answer = std::get<http_answer>(got);
  if (answer.status >= 500 && answer.status != 503) {
    return unknown(reason_of(answer));
  }
  if (answer.status != 200) {
    return fail(cx, outcome::refused, node + ": " + reason_of(answer));
  }
  auto body = parse_object(answer.body);
  if (!body) return unknown("the answer is damaged");
  if (cx.given.json) {
    cx.out << body->dump() << "\n";
  } else {
    cx.out << node << " is " << text_at(*body, "state") << "\n";
  }
  return outcome::done;
}

struct replacement {
  std::uint64_t old_id = 0;
  std::uint64_t id = 0;
  std::string address;
};

auto parse_replacement(const std::vector<std::string>& words)
    -> std::optional<replacement> {
  auto at = words[3].find('@');
  if (at == std::string::npos) return std::nullopt;
  auto old_id = parse_unsigned(words[2]);
  auto id = parse_unsigned(words[3].substr(0, at));
  auto address = parse_address(words[3].substr(at + 1));
  if (!old_id || !id || !address) return std::nullopt;
  return replacement{*old_id, *id, address->value};
}

/// Sends a replacement of a member. It has no request id, so it is not sent
/// again once it may have arrived.
class replace_run {
 public:
  replace_run(const context& cx, const replacement& x,
              std::map<std::string, std::string> headers)
      : cx_{cx}, headers_{std::move(headers)} {
    auto body = json{{"old", x.old_id}, {"id", x.id}, {"address", x.address}};
    body_ = body.dump();
  }

  auto run() -> outcome {
    auto next = std::deque<vm_address>{cx_.given.servers.begin(),
                                       cx_.given.servers.end()};
    while (!next.empty()) {
      auto address = next.front();
      next.pop_front();
      if (!asked_.insert(address).second) continue;
      auto got = send({"POST", address, "/v1/members/replace", headers_, body_},
                      cx_.given.timeout);
      if (const auto* none = std::get_if<no_answer>(&got)) {
        if (none->may_have_arrived) return end_unknown(address, none->reason);
        note(address, none->reason);
        continue;
      }
      const auto& answer = std::get<http_answer>(got);
      if (answer.status == 200) return end_done();
      if (answer.status == 421) {
        auto body = parse_object(answer.body).value_or(json::object());
        auto leader = text_at(body, "leader");
        note(address, leader.empty() ? "knows no leader" : "is not the leader");
        if (!leader.empty()) next.push_front({leader});
      } else if (answer.status == 503) {
        note(address, reason_of(answer));
      } else if (answer.status >= 500) {
        return end_unknown(address, reason_of(answer));
      } else {
        return fail(cx_, outcome::refused,
                    address.value + ": " + reason_of(answer));
      }
    }
    return fail(cx_, answered_ ? outcome::refused : outcome::unknown,
                "the member was not replaced:" + reasons_);
  }

 private:
  void note(const vm_address& address, const std::string& reason) {
    reasons_ += "\n  " + address.value + ": " + reason;
    if (reason != "no connection") answered_ = true;
  }

  auto end_done() -> outcome {
    if (cx_.given.json) {
      cx_.out << json{{"outcome", "done"}}.dump() << "\n";
    } else {
      cx_.out << "accepted; the new member counts once it holds every accepted "
                 "change, see: figwind members "
              << servers_flag(cx_) << "\n";
    }
    return outcome::done;
  }

  auto end_unknown(const vm_address& address, const std::string& reason)
      -> outcome {
    return fail(cx_, outcome::unknown,
                "outcome unknown, " + address.value + ": " + reason +
                    "; this lists the members in force:\n  figwind members " +
                    servers_flag(cx_));
  }

  const context& cx_;
  std::map<std::string, std::string> headers_;
  std::string body_;
  std::set<vm_address> asked_;
  std::string reasons_;
  bool answered_ = false;
};

auto header_at(const http_answer& answer, const std::string& name)
    -> std::string {
  auto found = answer.headers.find(name);
  return found == answer.headers.end() ? "" : found->second;
}

/// `--body @FILE` takes the body from a file.
auto read_body(const context& cx) -> result<std::string> {
  if (cx.given.body.empty() || cx.given.body.front() != '@') {
    return cx.given.body;
  }
  return load_text(cx.given.body.substr(1));
}

auto call_hint(const context& cx) -> std::string {
  if (cx.given.key.empty()) {
    return "; only a class that is idempotent may be called again";
  }
  return "; this gets the recorded outcome and does not run it twice:\n  "
         "figwind call " +
         cx.given.words[1] + " --key " + cx.given.key + " --node " +
         cx.given.node.value + " (with the same --body)";
}

/// True when the body has the length and checksum that the node states.
auto is_whole(const http_answer& answer) -> bool {
  auto length = header_at(answer, "figwind-length");
  auto sum = header_at(answer, "figwind-checksum");
  return (length.empty() || length == std::to_string(answer.body.size())) &&
         (sum.empty() || sum == to_hex(checksum(answer.body)));
}

auto print_call(const context& cx, const http_answer& answer) -> outcome {
  auto how = header_at(answer, "figwind-outcome");
  auto reason = header_at(answer, "figwind-reason");
  auto id = header_at(answer, "figwind-request-id");
  auto is_known = how == "complete" || how == "not-run" || how == "failed" ||
                  how == "unknown";
  if (!is_known || !is_whole(answer)) {
    return fail(cx, outcome::unknown, "the answer is damaged" + call_hint(cx));
  }
  if (cx.given.json) {
    auto line = json{{"outcome", how},
                     {"reason", reason},
                     {"request_id", id},
                     {"body", answer.body}};
    cx.out << line.dump(-1, ' ', false, json::error_handler_t::replace) << "\n";
  } else {
    cx.out << answer.body << std::flush;
    cx.err << how << (reason.empty() ? "" : " (" + reason + ")") << ", request "
           << id << "\n";
  }
  if (how == "complete") return outcome::done;
  if (how != "unknown") return outcome::refused;
  cx.err << "figwind: it may have run" << call_hint(cx) << "\n";
  return outcome::unknown;
}

}  // namespace

auto drain(const context& cx) -> outcome {
  return set_draining(cx, "drain");
}

auto undrain(const context& cx) -> outcome {
  return set_draining(cx, "undrain");
}

auto member_replace(const context& cx) -> outcome {
  auto x = parse_replacement(cx.given.words);
  if (!x) {
    return fail(cx, outcome::usage,
                "takes OLD_ID NEW_ID@ADDRESS, as in 3 5@10.0.3.2:7101");
  }
  auto headers = authorization(cx);
  if (!ok(headers)) return fail(cx, errors(headers));
  return replace_run{cx, *x, value(headers)}.run();
}

auto call(const context& cx) -> outcome {
  const auto& name = cx.given.words[1];
  if (!parse_name(name)) {
    return fail(cx, outcome::usage, "\"" + name + "\" is not a class name");
  }
  if (!is_header_text(cx.given.key)) {
    return fail(cx, outcome::usage, "--key holds a control character");
  }
  auto body = read_body(cx);
  if (!ok(body)) return fail(cx, errors(body));
  auto headers = std::map<std::string, std::string>{};
  if (!cx.given.key.empty()) headers["Figwind-Key"] = cx.given.key;
  auto limit = static_cast<std::uint64_t>(cx.given.timeout.ms);
  headers["Figwind-Timeout-Ms"] = std::to_string(limit);
  // The node answers by the deadline itself; the margin covers the way back.
  auto wait = cx.given.timeout + seconds(1);
  auto got = send({"POST", cx.given.node, "/v1/call/" + name, headers,
                   value(body), "application/octet-stream"},
                  wait);
  if (const auto* none = std::get_if<no_answer>(&got)) {
    auto text = cx.given.node.value + ": " + none->reason;
    text += none->may_have_arrived ? call_hint(cx) : "; nothing was sent";
    return fail(cx, outcome::unknown, text);
  }
  return print_call(cx, std::get<http_answer>(got));
}

}  // namespace figwind::cli
