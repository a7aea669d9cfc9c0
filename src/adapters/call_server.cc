#include "adapters/call_server.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <stdexcept>
#include <utility>

#include "adapters/address.h"
#include "adapters/burn_json.h"
#include "adapters/call_headers.h"
#include "adapters/clock.h"
#include "adapters/content_length.h"
#include "adapters/log.h"
#include "adapters/thread_pool.h"
#include "figwind/parse.h"

namespace figwind {
namespace {

// A connection holds a thread of cpp-httplib, so there must be more threads
// than connections: 620 of callers plus those of other nodes.
constexpr auto server_threads = std::size_t{1024};
// One watches a lost backend server, the others send cancellations.
constexpr auto background_threads = std::size_t{3};
constexpr auto backend_check = std::chrono::milliseconds{200};
constexpr auto max_idle_connections = std::size_t{128};
constexpr auto max_body_size = std::size_t{64} << 20U;
constexpr auto keep_alive_count = std::size_t{1} << 40U;
constexpr auto keep_alive_seconds = 600;
constexpr auto default_timeout = seconds(10);
constexpr auto max_timeout = minutes(10);
constexpr auto cancel_timeout = milliseconds(500);
constexpr auto body_type = "application/octet-stream";

auto http_status(call_status status, refusal reason) -> int {
  switch (status) {
    case call_status::complete:
      return 200;
    case call_status::failed:
      return 502;
    case call_status::unknown:
      return 504;
    case call_status::not_run:
      break;
  }
  switch (reason) {
    case refusal::unknown_class:
      return 404;
    case refusal::malformed:
    case refusal::bad_key:
      return 400;
    default:
      return 503;
  }
}

void write(httplib::Response& out, const request_id& id,
           const call_answer& answer, const std::string& body) {
  out.status = http_status(answer.status, answer.reason);
  out.set_header(header_name::request_id, to_string(id));
  out.set_header(header_name::outcome, to_string(answer.status));
  if (answer.reason != refusal::none) {
    out.set_header(header_name::reason, to_string(answer.reason));
  }
  if (answer.attempt == 0) return;
  out.set_header(header_name::length, std::to_string(body.size()));
  out.set_header(header_name::checksum, to_hex(checksum(body)));
  out.set_content(body, body_type);
}

auto read_timeout(const httplib::Request& in) -> std::optional<duration> {
  if (!in.has_header(header_name::timeout)) return default_timeout;
  auto ms = parse_number(in.get_header_value(header_name::timeout));
  if (!ms || *ms <= 0 || *ms > max_timeout.ms) return std::nullopt;
  return duration{*ms};
}

auto random_bits() -> std::uint64_t {
  thread_local auto engine = std::mt19937_64{std::random_device{}()};
  return engine();
}

/// A downstream call of a backend server: the context that it was given, one
/// hop deeper.
auto read_child(const httplib::Request& in) -> std::optional<call_context> {
  auto context = parse_context(in.get_header_value(header_name::context));
  if (!context) return std::nullopt;
  auto timeout = read_timeout(in);
  if (!timeout) return std::nullopt;
  ++context->depth;
  context->time_left = std::min(context->time_left, *timeout);
  return context;
}

auto read_call(const httplib::Request& in) -> std::optional<call_context> {
  auto context = std::optional<call_context>{};
  if (in.has_header(header_name::context)) {
    context = read_child(in);
  } else if (auto timeout = read_timeout(in)) {
    context = call_context{};
    context->id = {random_bits(), random_bits()};
    context->time_left = *timeout;
  }
  if (!context) return std::nullopt;
  context->name.value = in.matches[1];
  context->key.value = in.get_header_value(header_name::key);
  context->call_number = random_bits();
  context->first_sending = in.get_header_value(header_name::sending) == "first";
  return context;
}

auto finish_head(answer_header head, const std::string& body) -> answer_header {
  head.length = body.size();
  head.checksum = answer_checksum(head, body);
  return head;
}

auto is_not_run(const http_response& got) -> bool {
  return got.status == 503 && find_header(got.headers, header_name::outcome) ==
                                  to_string(call_status::not_run);
}

}  // namespace

call_server::call_server(const process_settings& own, node_handle& node)
    : own_{own},
      node_{node},
      client_{max_idle_connections},
      background_{background_threads} {
  server_.new_task_queue = [] { return new thread_pool{server_threads}; };
  server_.set_tcp_nodelay(true);
  server_.set_keep_alive_max_count(keep_alive_count);
  server_.set_keep_alive_timeout(keep_alive_seconds);
  server_.set_payload_max_length(max_body_size);
  const auto post = [this](const char* path, auto action) {
    server_.Post(path, with_content_length(std::move(action)));
  };
  post(R"(/v1/call/([\w-]+))",
       [this](const auto& in, auto& out) { serve_call(in, out); });
  post(R"(/v1/run/([\w-]+))",
       [this](const auto& in, auto& out) { serve_run(in, out); });
  post("/v1/announce",
       [this](const auto& in, auto& out) { serve_announcement(in, out); });
  server_.Get("/v1/burn", [this](const httplib::Request&, auto& out) {
    auto body = burn_body{};
    body.set.nodes[node_.status().self] = node_.burn();
    out.set_content(to_json_text(body), "application/json");
  });
  auto at = split(own.call_address);
  if (!server_.bind_to_port(at.host, at.port)) {
    throw std::runtime_error{"cannot listen on " + own.call_address.value};
  }
  thread_ = std::thread{[this] { server_.listen_after_bind(); }};
}

call_server::~call_server() {
  closing_ = true;
  server_.stop();
  thread_.join();
  background_.shutdown();
}

void call_server::set_backend(const backend_announcement& backend) {
  auto lock = std::lock_guard{mutex_};
  backend_ = backend;
}

auto call_server::backend() -> backend_announcement {
  auto lock = std::lock_guard{mutex_};
  return backend_;
}

void call_server::watch_backend() {
  if (watching_.exchange(true)) return;
  log_warning("backend-lost", {{"address", backend().address.value}});
  background_.enqueue([this] {
    while (!closing_ && !http_client::can_connect(backend().address)) {
      std::this_thread::sleep_for(backend_check);
    }
    watching_ = false;
    if (closing_) return;
    node_.announce(backend());
    log_info("backend-returned", {{"address", backend().address.value}});
  });
}

void call_server::serve_call(const httplib::Request& in,
                             httplib::Response& out) {
  auto context = read_call(in);
  if (!context) {
    write(out, {}, {call_status::not_run, refusal::malformed}, {});
    return;
  }
  auto body = std::string{};
  auto request = fingerprint_of(context->name, context->key, in.body);
  auto next = node_.begin_call(*context, request);
  while (const auto* order = std::get_if<attempt_action>(&next.action)) {
    auto draining = false;
    auto server = order->server;
    auto report = attempt(*order, in.body, draining);
    body = report.body;
    next = node_.end_attempt(std::move(report), server, draining);
  }
  write(out, context->id, std::get<call_answer>(next.action), body);
}

auto call_server::attempt(const attempt_action& order, const std::string& body,
                          bool& draining) -> attempt_report {
  if (!order.local) return attempt_remote(order, body, draining);
  auto answer = run(order.context, order.number, body);
  draining = answer.draining;
  return {call_id(order.context),     order.number,
          transport_result::answered, answer.head,
          std::move(answer.body),     std::move(answer.thresholds)};
}

auto call_server::attempt_remote(const attempt_action& order,
                                 const std::string& body, bool& draining)
    -> attempt_report {
  const auto& context = order.context;
  auto headers =
      httplib::Headers{{header_name::cluster, own_.cluster},
                       {header_name::context, to_header(context)},
                       {header_name::attempt, std::to_string(order.number)},
                       {header_name::checksum, to_hex(checksum(body))}};
  auto got = client_.post(order.call_address, "/v1/run/" + context.name.value,
                          headers, body, context.time_left);
  auto report = attempt_report{
      call_id(context), order.number, transport_result::broken, {}, {}, {}};
  if (got.result == http_result::not_sent)
    report.result = transport_result::not_sent;
  if (got.result == http_result::timed_out) {
    report.result = transport_result::timed_out;
  }
  if (got.result != http_result::answered) return report;
  auto head = parse_head(got.headers);
  if (!head) return report;
  draining = find_header(got.headers, header_name::state) == "draining";
  report.result = transport_result::answered;
  report.head = *head;
  report.body = std::move(got.body);
  report.thresholds = parse_thresholds(got.headers);
  return report;
}

auto call_server::run(const call_context& context, attempt_number number,
                      const std::string& body) -> server_answer {
  auto request = fingerprint_of(context.name, context.key, body);
  auto reply = node_.begin_run(context, request);
  auto answer = std::string{};
  if (reply.step.kind == run_action_kind::run) {
    auto report = run_on_backend(reply.step.context, body);
    answer = report.answer;
    reply = node_.end_run(reply.step.ticket, std::move(report));
  }
  if (reply.step.recorded) answer = std::move(reply.step.answer);
  auto head = answer_header{call_id(context), number, reply.step.status,
                            reply.step.reason, reply.step.returned_allowance};
  return {finish_head(head, answer), std::move(answer),
          std::move(reply.thresholds), reply.draining};
}

auto call_server::run_on_backend(const call_context& context,
                                 const std::string& body) -> run_report {
  auto address = backend().address;
  auto headers = httplib::Headers{
      {header_name::request_id, to_string(context.id)},
      {header_name::context, to_header(context)},
      {header_name::timeout, std::to_string(context.time_left.ms)}};
  if (!context.key.value.empty()) {
    headers.emplace(header_name::key, context.key.value);
  }
  auto got =
      client_.post_request(address, "/v1/work/" + context.name.value, headers,
                           body, context.time_left, to_string(context.id));
  switch (got.result) {
    case http_result::not_sent:
      return {call_status::not_run, lost_backend(), {}};
    case http_result::timed_out:
      cancel(context);
      return {call_status::unknown, false, {}};
    case http_result::broken:
      return {call_status::unknown, lost_backend(), {}};
    case http_result::answered:
      break;
  }
  if (is_not_run(got)) return {call_status::not_run, false, {}};
  auto status = got.status == 200 ? call_status::complete : call_status::failed;
  return {status, false, std::move(got.body)};
}

auto call_server::lost_backend() -> bool {
  if (http_client::can_connect(backend().address)) return false;
  watch_backend();
  return true;
}

void call_server::cancel(const call_context& context) {
  auto address = backend().address;
  auto path = "/v1/cancel/" + to_string(context.id);
  background_.enqueue([this, address, path] {
    client_.post(address, path, {}, {}, cancel_timeout);
  });
}

void call_server::serve_run(const httplib::Request& in,
                            httplib::Response& out) {
  auto context = parse_context(in.get_header_value(header_name::context));
  auto number = parse_number(in.get_header_value(header_name::attempt));
  if (!context || !number || *number < 1 ||
      in.get_header_value(header_name::cluster) != own_.cluster ||
      in.get_header_value(header_name::checksum) != to_hex(checksum(in.body))) {
    write(out, {}, {call_status::not_run, refusal::malformed}, {});
    return;
  }
  auto answer = run(*context, static_cast<attempt_number>(*number), in.body);
  out.status = http_status(answer.head.status, answer.head.reason);
  out.headers = to_headers(answer.head, answer.thresholds, answer.draining);
  out.set_content(answer.body, body_type);
}

void call_server::serve_announcement(const httplib::Request& in,
                                     httplib::Response& out) {
  auto fields = nlohmann::json::parse(in.body, nullptr, false);
  auto x = backend_announcement{};
  try {
    x.service.value = fields.at("service").get<std::string>();
    x.slots = fields.at("slots").get<int>();
    x.connections = fields.at("connections").get<int>();
    x.address.value = fields.at("address").get<std::string>();
  } catch (const nlohmann::json::exception& e) {
    out.status = 400;
    out.set_content(e.what(), "text/plain");
    return;
  }
  if (!parse_address(x.address.value) || x.service.value.empty() ||
      x.slots < 1 || x.connections < 1) {
    out.status = 400;
    out.set_content("service, address, slots or connections are not valid",
                    "text/plain");
    return;
  }
  set_backend(x);
  node_.announce(x);
  log_info("backend-announced", {{"service", x.service.value},
                                 {"address", x.address.value},
                                 {"slots", x.slots},
                                 {"connections", x.connections}});
}

}  // namespace figwind
