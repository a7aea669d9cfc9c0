// The operator's command-line program.

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sstream>

#include "adapters/cli.h"
#include "figwind/parse.h"

DEFINE_string(servers, "", "operator addresses of control members: A,B,C");
DEFINE_bool(json, false, "print JSON");
DEFINE_string(timeout, "5 s", "longest wait for one answer");
DEFINE_string(token_file, "", "file with the operator token");
DEFINE_string(base, "", "version that the file of config apply edits");
DEFINE_string(author, "", "who changes the configuration");
DEFINE_string(request, "", "request id of an earlier config apply");
DEFINE_string(html, "", "file for the page of report");
DEFINE_string(node, "", "call address of a node");
DEFINE_string(key, "", "key of a request that must run at most once");
DEFINE_string(body, "", "body of a call; @FILE takes it from a file");
DECLARE_bool(help);

namespace google {
// Exported by the library without a header; a wrong flag must exit with 2.
extern void (*gflags_exitfunc)(int);
}  // namespace google

namespace {

using namespace figwind;

auto or_environment(const std::string& flag, const char* variable,
                    const std::string& otherwise) -> std::string {
  if (!flag.empty()) return flag;
  const auto* text = std::getenv(variable);
  return text != nullptr && *text != '\0' ? text : otherwise;
}

auto parse_addresses(const std::string& text) -> std::vector<vm_address> {
  auto all = std::vector<vm_address>{};
  auto in = std::istringstream{text};
  auto item = std::string{};
  while (std::getline(in, item, ',')) all.push_back({item});
  return all;
}

auto refuse_flag(const std::string& name, const std::string& rule) -> bool {
  std::cerr << "figwind: --" << name << " " << rule << "\n";
  return false;
}

auto fill(cli::options& to) -> bool {
  to.servers = parse_addresses(
      or_environment(FLAGS_servers, "FIGWIND_SERVERS", "127.0.0.1:7301"));
  for (const auto& address : to.servers) {
    if (!parse_address(address.value)) {
      return refuse_flag("servers", "takes ip:port, not " + address.value);
    }
  }
  to.node = {or_environment(FLAGS_node, "FIGWIND_NODE", "127.0.0.1:7201")};
  if (!parse_address(to.node.value)) {
    return refuse_flag("node", "takes ip:port, not " + to.node.value);
  }
  auto timeout = parse_duration(FLAGS_timeout);
  if (!timeout || timeout->ms < 1 || *timeout > minutes(10)) {
    return refuse_flag("timeout", "takes 1 ms to 10 min, as in \"5 s\"");
  }
  to.timeout = *timeout;
  if (!FLAGS_base.empty()) {
    to.base = parse_unsigned(FLAGS_base);
    if (!to.base) return refuse_flag("base", "takes a version number");
  }
  to.author = or_environment(FLAGS_author, "USER", "unknown");
  to.json = FLAGS_json;
  to.token_file = FLAGS_token_file;
  to.request = FLAGS_request;
  to.html = FLAGS_html;
  to.key = FLAGS_key;
  to.body = FLAGS_body;
  return true;
}

auto print_help(const std::vector<std::string>& words) -> cli::outcome {
  auto text = cli::help(words);
  std::cout << text.value_or(*cli::help({}));
  return text ? cli::outcome::done : cli::outcome::usage;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  // A member that closes the connection early must not end the program: the
  // HTTP library sends without MSG_NOSIGNAL.
  std::signal(SIGPIPE, SIG_IGN);
  google::gflags_exitfunc = [](int) { std::exit(2); };
  constexpr auto remove_flags = true;
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, remove_flags);
  auto given = cli::options{};
  given.words.assign(argv + 1, argv + argc);
  if (FLAGS_help) return static_cast<int>(print_help(given.words));
  if (!fill(given)) return static_cast<int>(cli::outcome::usage);
  return static_cast<int>(cli::run({given, std::cout, std::cerr}));
}
