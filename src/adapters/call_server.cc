#include "adapters/call_server.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <stdexcept>
#include <utility>

#include "adapters/address.h"
#include "adapters/call_headers.h"
#include "adapters/clock.h"
#include "adapters/log.h"
#include "figwind/parse.h"

namespace figwind {

/// How an attempt ended, with the answer's body when it is complete.
struct attempt_result {
  call_answer answer;
  std::string body;
};

namespace {

// A connection holds a thread of cpp-httplib, so there must be more threads
// than connections: 620 of a backend server plus those of other nodes.
constexpr auto server_threads = std::size_t{1024};
constexpr auto max_idle_connections = std::size_t{128};
constexpr auto max_body_size = std::size_t{64} << 20U;
constexpr auto keep_alive_count = std::size_t{1} << 40U;
constexpr auto keep_alive_seconds = 600;
constexpr auto default_timeout = seconds(10);
constexpr auto max_timeout = minutes(10);

auto http_status(const call_answer& x) -> int {
  switch (x.status) {
    case call_status::complete:
      return 200;
    case call_status::failed:
      return 502;
    case call_status::unknown:
      return 504;
    case call_status::not_run:
      break;
  }
  switch (x.reason) {
    case refusal::unknown_class:
      return 404;
    case refusal::malformed:
    case refusal::bad_key:
      return 400;
    case refusal::expired_key:
      return 410;
    default:
      return 503;
  }
}

auto parse_status(const std::string& text) -> std::optional<call_status> {
  for (auto x : {call_status::complete, call_status::not_run,
                 call_status::failed, call_status::unknown}) {
    if (text == to_string(x)) return x;
  }
  return std::nullopt;
}

auto parse_refusal(const std::string& text) -> refusal {
  for (auto i = 0; i <= static_cast<int>(refusal::malformed); ++i) {
    auto x = static_cast<refusal>(i);
    if (text == to_string(x)) return x;
  }
  return refusal::none;
}

void write(httplib::Response& out, const request_id& id,
           const call_answer& answer, const std::string& body) {
  out.status = http_status(answer);
  out.set_header(header_name::request_id, to_string(id));
  out.set_header(header_name::outcome, to_string(answer.status));
  if (answer.reason != refusal::none) {
    out.set_header(header_name::reason, to_string(answer.reason));
  }
  if (answer.status != call_status::complete) return;
  out.set_header(header_name::length, std::to_string(body.size()));
  out.set_header(header_name::checksum, to_hex(checksum(body)));
  out.set_content(body, "application/octet-stream");
}

auto is_whole(const http_response& got, const request_id& id) -> bool {
  return header(got, header_name::request_id) == to_string(id) &&
         header(got, header_name::length) == std::to_string(got.body.size()) &&
         header(got, header_name::checksum) == to_hex(checksum(got.body));
}

auto read_timeout(const httplib::Request& in) -> std::optional<duration> {
  if (!in.has_header(header_name::timeout)) return default_timeout;
  auto ms = parse_number(in.get_header_value(header_name::timeout));
  if (!ms || *ms <= 0 || *ms > max_timeout.ms) return std::nullopt;
  return duration{*ms};
}

auto make_request_id() -> request_id {
  thread_local auto engine = std::mt19937_64{std::random_device{}()};
  return {engine(), engine()};
}

auto read_call(const httplib::Request& in, const settings& own)
    -> std::optional<call_context> {
  if (in.has_header(header_name::context)) {
    auto parent = parse_context(in.get_header_value(header_name::context));
    if (!parent) return std::nullopt;
    parent->id = make_request_id();
    parent->name.value = in.matches[1];
    parent->key.value = in.get_header_value(header_name::key);
    ++parent->depth;
    return parent;
  }
  auto timeout = read_timeout(in);
  if (!timeout) return std::nullopt;
  return call_context{make_request_id(),
                      {std::string{in.matches[1]}},
                      1,
                      0,
                      *timeout,
                      0,
                      own.domain,
                      {in.get_header_value(header_name::key)}};
}

}  // namespace

call_server::call_server(const settings& own, node_handle& node)
    : own_{own}, node_{node}, client_{max_idle_connections} {
  server_.new_task_queue = [] {
    return new httplib::ThreadPool{server_threads};
  };
  server_.set_tcp_nodelay(true);
  server_.set_keep_alive_max_count(keep_alive_count);
  server_.set_keep_alive_timeout(keep_alive_seconds);
  server_.set_payload_max_length(max_body_size);
  server_.Post(R"(/v1/call/([\w-]+))",
               [this](const auto& in, auto& out) { serve_call(in, out); });
  server_.Post(R"(/v1/run/([\w-]+))",
               [this](const auto& in, auto& out) { serve_run(in, out); });
  server_.Post("/v1/announce", [this](const auto& in, auto& out) {
    serve_announcement(in, out);
  });
  auto at = split(own.call_address);
  if (!server_.bind_to_port(at.host, at.port)) {
    throw std::runtime_error{"cannot listen on " + own.call_address.value};
  }
  thread_ = std::thread{[this] { server_.listen_after_bind(); }};
}

call_server::~call_server() {
  server_.stop();
  thread_.join();
}

void call_server::serve_call(const httplib::Request& in,
                             httplib::Response& out) {
  auto context = read_call(in, own_);
  if (!context) {
    write(out, {}, {call_status::not_run, refusal::malformed}, {});
    return;
  }
  auto last = attempt_result{};
  auto effect = node_.begin_call(*context);
  while (const auto* order = std::get_if<attempt_order>(&effect.step)) {
    auto start = steady_now();
    last = attempt(*order, in.body);
    effect = node_.end_attempt(
        {context->id, order->number, last.answer, steady_now() - start});
  }
  write(out, context->id, std::get<call_answer>(effect.step), last.body);
}

auto call_server::attempt(const attempt_order& order, const std::string& body)
    -> attempt_result {
  return order.local ? run(order.context, body) : attempt_remote(order, body);
}

auto call_server::attempt_remote(const attempt_order& order,
                                 const std::string& body) -> attempt_result {
  const auto& context = order.context;
  auto headers =
      httplib::Headers{{header_name::cluster, own_.cluster},
                       {header_name::context, to_header(context)},
                       {header_name::length, std::to_string(body.size())},
                       {header_name::checksum, to_hex(checksum(body))}};
  auto got = client_.post(order.server, "/v1/run/" + context.name.value,
                          headers, body, context.time_left);
  if (got.result == http_result::not_sent) {
    return {{call_status::not_run, refusal::no_server}, {}};
  }
  auto status = parse_status(header(got, header_name::outcome));
  if (got.result == http_result::broken || !status) {
    return {{call_status::unknown, refusal::none}, {}};
  }
  if (*status == call_status::complete && !is_whole(got, context.id)) {
    return {{call_status::unknown, refusal::malformed}, {}};
  }
  return {{*status, parse_refusal(header(got, header_name::reason))},
          std::move(got.body)};
}

auto call_server::run(const call_context& context, const std::string& body)
    -> attempt_result {
  auto verdict = node_.begin_run(context);
  if (!verdict.run) return {verdict.answer, {}};
  auto headers = httplib::Headers{
      {header_name::request_id, to_string(context.id)},
      {header_name::context, to_header(context)},
      {header_name::timeout, std::to_string(context.time_left.ms)}};
  auto got =
      client_.post(node_.backend_address(), "/v1/work/" + context.name.value,
                   headers, body, context.time_left);
  auto answer = call_answer{call_status::complete, refusal::none};
  if (got.result == http_result::not_sent) {
    answer = {call_status::not_run, refusal::no_server};
  } else if (got.result == http_result::broken) {
    answer.status = call_status::unknown;
  } else if (got.status != 200) {
    answer.status = call_status::failed;
  }
  node_.end_run(verdict.ticket, answer);
  return {answer, std::move(got.body)};
}

void call_server::serve_run(const httplib::Request& in,
                            httplib::Response& out) {
  auto context = parse_context(in.get_header_value(header_name::context));
  if (!context || in.get_header_value(header_name::cluster) != own_.cluster ||
      in.get_header_value(header_name::checksum) != to_hex(checksum(in.body))) {
    write(out, {}, {call_status::not_run, refusal::malformed}, {});
    return;
  }
  auto result = run(*context, in.body);
  write(out, context->id, result.answer, result.body);
}

void call_server::serve_announcement(const httplib::Request& in,
                                     httplib::Response& out) {
  auto fields = nlohmann::json::parse(in.body, nullptr, false);
  auto backend = backend_announcement{};
  try {
    backend.service.value = fields.at("service").get<std::string>();
    backend.slots = fields.at("slots").get<int>();
    backend.connections = fields.at("connections").get<int>();
    backend.address.value = fields.at("address").get<std::string>();
  } catch (const nlohmann::json::exception& e) {
    out.status = 400;
    out.set_content(e.what(), "text/plain");
    return;
  }
  node_.announce(backend);
  log_info("backend-announced", {{"service", backend.service.value},
                                 {"address", backend.address.value},
                                 {"slots", backend.slots}});
}

}  // namespace figwind
