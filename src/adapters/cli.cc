#include "adapters/cli.h"

#include <algorithm>
#include <functional>

#include "adapters/cli_commands.h"

namespace figwind::cli {
namespace {

struct command {
  std::vector<std::string> name;
  /// Arguments after the name, as shown in the usage line.
  std::vector<std::string> arguments;
  std::function<outcome(const context&)> act;
  std::string summary;
  std::string example;
  std::string flags;
};

constexpr auto common_flags = R"(
  --servers A,B   operator addresses of control members, asked in this order
                  (default: FIGWIND_SERVERS, else 127.0.0.1:7301)
  --timeout TIME  longest wait for one answer, as in "5 s" (the default)
  --json          prints one JSON object or list
)";

constexpr auto token_flag = R"(
  --token_file F  file with the operator token, readable by its owner only)";

constexpr auto exit_codes = R"(
Exit codes:
  0  done
  1  refused, with the reason
  2  wrong usage
  3  no answer: the outcome is unknown, and the output names the command that
     finds out
)";

auto config_commands() -> std::vector<command> {
  return {
      {{"config", "check"},
       {"FILE"},
       config_check,
       "Checks a workload or settings file and prints all findings.",
       "figwind config check support/sprijin.ini",
       ""},
      {{"config", "show"},
       {},
       config_show,
       "Prints the configuration in force with its version and author.",
       "figwind config show --servers 10.0.0.1:7301,10.0.1.1:7301",
       ""},
      {{"config", "apply"},
       {"FILE"},
       config_apply,
       "Proposes a workload file as the next version. A lost answer is\n"
       "followed by the same request at the next address; it is applied once.",
       "figwind config apply sprijin.ini --base 41 --token_file ~/.figwind",
       "\n  --base N        the version that the file edits (default: the one "
       "in "
       "force)"
       "\n  --author NAME   who changes it (default: $USER)"
       "\n  --request ID    request id of an earlier try, 32 hex digits" +
           std::string{token_flag}},
      {{"config", "status"},
       {},
       config_status,
       "Prints the state of a process, the versions in force by failure "
       "domain\n"
       "and the nodes that lag behind.",
       "figwind config status --servers 10.0.0.1:7301",
       ""},
  };
}

auto fleet_commands() -> std::vector<command> {
  return {
      {{"servers"},
       {},
       list_servers,
       "Lists the backend servers with state, slots and calls in flight.",
       "figwind servers",
       ""},
      {{"services"},
       {},
       list_services,
       "Lists the services with their number of servers and slots.",
       "figwind services --json",
       ""},
      {{"members"},
       {},
       list_members,
       "Lists the control members and the leader.",
       "figwind members",
       ""},
      {{"drain"},
       {"ADDRESS"},
       drain,
       "Drains the node at this operator address: it refuses new work at once\n"
       "and finishes what runs.",
       "figwind drain 10.0.0.7:7301 --token_file ~/.figwind",
       token_flag},
      {{"undrain"},
       {"ADDRESS"},
       undrain,
       "Lets a drained node serve again.",
       "figwind undrain 10.0.0.7:7301 --token_file ~/.figwind",
       token_flag},
      {{"member", "replace"},
       {"OLD_ID", "NEW_ID@ADDRESS"},
       member_replace,
       "Replaces a lost control member by a new one, which counts once it\n"
       "holds every accepted change.",
       "figwind member replace 3 5@10.0.2.9:7101 --token_file ~/.figwind",
       token_flag},
  };
}

auto work_commands() -> std::vector<command> {
  return {
      {{"report"},
       {},
       report,
       "Reports how fast each class spends the failures that its target "
       "allows,\nover 5 min, 1 h and 30 days. Give one control member of each "
       "failure\ndomain as --servers.",
       "figwind report --html report.html",
       "\n  --html FILE     writes a page with plots to FILE"},
      {{"call"},
       {"CLASS"},
       call,
       "Makes one call through a node, as a caller does.",
       "figwind call stock-lookup --node 10.0.0.7:7201 --body '{\"frame\":7}'",
       "\n  --node ADDRESS  call address of a node (default: FIGWIND_NODE, "
       "else "
       "127.0.0.1:7201)"
       "\n  --key KEY       key of a request that must run at most once:"
       "\n                  DOMAIN.BIRTH.UNIQUE, birth in hex ms of Unix time"
       "\n  --body TEXT     body of the request; @FILE takes it from a file"},
      {{"explain"},
       {"REQUEST_ID", "FILE..."},
       explain,
       "Joins the log lines of a request and of the calls of its chain from "
       "the\n"
       "logs of several processes, and names the deepest failure.",
       "figwind explain 9c41d07be2a35f68 logs/*.log",
       ""},
  };
}

auto commands() -> const std::vector<command>& {
  static const auto all = [] {
    auto list = config_commands();
    for (const auto& more : {fleet_commands(), work_commands()}) {
      list.insert(list.end(), more.begin(), more.end());
    }
    return list;
  }();
  return all;
}

auto find(const std::vector<std::string>& words) -> const command* {
  for (const auto& x : commands()) {
    if (words.size() < x.name.size()) continue;
    if (std::equal(x.name.begin(), x.name.end(), words.begin())) return &x;
  }
  return nullptr;
}

auto usage_line(const command& x) -> std::string {
  auto text = std::string{"figwind"};
  for (const auto& word : x.name) text += " " + word;
  for (const auto& word : x.arguments) text += " " + word;
  return text;
}

/// The first sentence of the summary on one line.
auto headline(const command& x) -> std::string {
  auto text = x.summary.substr(0, x.summary.find('.'));
  std::replace(text.begin(), text.end(), '\n', ' ');
  return text;
}

auto overview() -> std::string {
  auto text = std::string{"figwind: operates figwind's processes\n\nCommands:"};
  for (const auto& x : commands()) {
    text += "\n  " + usage_line(x);
    text += "\n      " + headline(x);
  }
  return text + "\n\nEach command has --help with an example.\n" + exit_codes;
}

/// True when a command takes this number of words; a last argument that ends
/// with "..." stands for one or more.
auto fits(const command& x, std::size_t words) -> bool {
  const auto least = x.name.size() + x.arguments.size();
  const auto is_open = !x.arguments.empty() &&
                       x.arguments.back().find("...") != std::string::npos;
  return is_open ? words >= least : words == least;
}

}  // namespace

auto help(const std::vector<std::string>& words) -> std::optional<std::string> {
  if (words.empty()) return overview();
  const auto* x = find(words);
  if (x == nullptr) return std::nullopt;
  return usage_line(*x) + "\n\n" + x->summary + "\n\nExample:\n  " +
         x->example + "\n\nFlags:" + x->flags + common_flags + exit_codes;
}

auto run(const context& cx) -> outcome {
  const auto& words = cx.given.words;
  if (words.empty()) {
    cx.err << overview();
    return outcome::usage;
  }
  const auto* x = find(words);
  if (x == nullptr) {
    return fail(cx, outcome::usage,
                "no such command, \"figwind --help\" lists them");
  }
  if (!fits(*x, words.size())) {
    return fail(cx, outcome::usage, "usage: " + usage_line(*x));
  }
  if (cx.given.servers.empty()) {
    return fail(cx, outcome::usage, "--servers names no address");
  }
  return x->act(cx);
}

}  // namespace figwind::cli
