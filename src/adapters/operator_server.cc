#include "adapters/operator_server.h"

#include <future>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <utility>

#include "adapters/address.h"
#include "adapters/burn_json.h"
#include "adapters/call_headers.h"
#include "adapters/clock.h"
#include "adapters/content_length.h"
#include "adapters/findings_json.h"
#include "adapters/log.h"
#include "adapters/operator_json.h"
#include "adapters/thread_pool.h"
#include "adapters/token.h"
#include "figwind/parse.h"

namespace figwind {
namespace {

constexpr auto server_threads = std::size_t{16};
constexpr auto gather_threads = std::size_t{16};
constexpr auto max_body_size = std::size_t{1} << 20U;
constexpr auto change_patience = seconds(4);
constexpr auto gather_timeout = seconds(1);
constexpr auto json_type = "application/json";

void write(httplib::Response& out, int status, const operator_json& body) {
  out.status = status;
  // A refusal may quote bytes that are no UTF-8.
  constexpr auto replace = operator_json::error_handler_t::replace;
  out.set_content(body.dump(-1, ' ', false, replace), json_type);
}

void refuse(httplib::Response& out, int status, const std::string& reason) {
  write(out, status, {{"reason", reason}});
}

void write(httplib::Response& out, const change_answer& answer) {
  switch (answer.status) {
    case change_status::accepted:
      write(out, 200, {{"version", answer.version}});
      return;
    case change_status::conflict:
      write(out, 409, {{"version", answer.version}, {"author", answer.author}});
      return;
    case change_status::invalid:
      break;
  }
  write(out, 400, {{"findings", to_json(answer.problems)}});
}

auto read_change(const httplib::Request& in) -> std::optional<config_change> {
  auto id = parse_request_id(in.get_header_value("Figwind-Request"));
  auto base = parse_number(in.get_header_value("Figwind-Base"));
  if (!id || !base || *base < 0) return std::nullopt;
  return config_change{*id,
                       {static_cast<std::uint64_t>(*base)},
                       in.get_header_value("Figwind-Author"),
                       in.body,
                       wall_now()};
}

}  // namespace

operator_server::operator_server(const process_settings& own,
                                 operator_ports ports)
    : own_{own}, ports_{std::move(ports)}, client_{1} {
  server_.new_task_queue = [] { return new thread_pool{server_threads}; };
  server_.set_tcp_nodelay(true);
  server_.set_payload_max_length(max_body_size);
  add_routes();
  auto at = split(own.operator_address);
  if (!server_.bind_to_port(at.host, at.port)) {
    throw std::runtime_error{"cannot listen on " + own.operator_address.value};
  }
  thread_ = std::thread{[this] { server_.listen_after_bind(); }};
}

operator_server::~operator_server() {
  server_.stop();
  thread_.join();
}

void operator_server::add_routes() {
  using request = httplib::Request;
  using response = httplib::Response;
  server_.Get("/v1/config",
              [this](const request&, response& out) { show_config(out); });
  server_.Get("/v1/status",
              [this](const request&, response& out) { show_status(out); });
  server_.Get("/v1/burn",
              [this](const request&, response& out) { show_burn(out); });
  server_.Get("/metrics",
              [this](const request&, response& out) { show_metrics(out); });
  server_.Get("/readyz",
              [this](const request&, response& out) { show_ready(out); });
  server_.Get("/healthz", [](const request&, response& out) {
    out.set_content("alive", "text/plain");
  });
  const auto post = [this](const char* path, auto action) {
    server_.Post(path, with_content_length(
                           [this, action](const request& in, response& out) {
                             if (authorized(in, out)) action(in, out);
                           }));
  };
  post("/v1/config",
       [this](const request& in, response& out) { change_config(in, out); });
  post("/v1/members/replace",
       [this](const request& in, response& out) { replace_member(in, out); });
  post("/v1/drain", [this](const request&, response& out) { drain(out); });
  post("/v1/undrain", [this](const request&, response& out) { undrain(out); });
}

auto operator_server::authorized(const httplib::Request& in,
                                 httplib::Response& out) const -> bool {
  if (is_authorized(ports_.token, in.get_header_value("Authorization"))) {
    return true;
  }
  log_warning("change-not-authorized", {{"path", in.path}});
  refuse(out, 401, "the token is missing or wrong");
  return false;
}

void operator_server::show_config(httplib::Response& out) {
  if (ports_.control == nullptr) {
    refuse(out, 404, "this process is not a control member");
    return;
  }
  auto status = ports_.control->status();
  write(out, 200,
        {{"version", status.config.version.value},
         {"author", status.config.author},
         {"text", status.config.text},
         {"isolated", !status.refusal.empty()}});
}

void operator_server::change_config(const httplib::Request& in,
                                    httplib::Response& out) {
  if (ports_.control == nullptr) {
    refuse(out, 404, "this process is not a control member");
    return;
  }
  auto change = read_change(in);
  if (!change) {
    refuse(out, 400, "Figwind-Request or Figwind-Base is not valid");
    return;
  }
  auto reply = ports_.control->change(*change, change_patience);
  if (!reply.answer) {
    log_warning("change-not-accepted", {{"request", to_string(change->id)},
                                        {"author", change->author},
                                        {"reason", reply.reason}});
    refuse(out, reply.outcome_unknown ? 504 : 503, reply.reason);
    return;
  }
  log_info("change-answered", {{"request", to_string(change->id)},
                               {"author", change->author},
                               {"status", to_string(reply.answer->status)},
                               {"version", reply.answer->version}});
  write(out, *reply.answer);
}

void operator_server::replace_member(const httplib::Request& in,
                                     httplib::Response& out) {
  if (ports_.control == nullptr) {
    refuse(out, 404, "this process is not a control member");
    return;
  }
  auto fields = nlohmann::json::parse(in.body, nullptr, false);
  auto replaced = member_id{};
  auto added = member_id{};
  auto address = std::string{};
  try {
    replaced.value = fields.at("old").get<std::uint64_t>();
    added.value = fields.at("id").get<std::uint64_t>();
    address = fields.at("address").get<std::string>();
  } catch (const nlohmann::json::exception& e) {
    refuse(out, 400, e.what());
    return;
  }
  if (!parse_address(address)) {
    refuse(out, 400, "address must be an IP number and a port");
    return;
  }
  auto reason = ports_.control->replace_member(replaced, added, {address});
  if (reason.empty()) {
    write(out, 200, {{"state", "joining"}});
  } else {
    refuse(out, 409, reason);
  }
}

void operator_server::show_status(httplib::Response& out) {
  auto node = std::optional<node_status>{};
  auto control = std::optional<control_status>{};
  if (ports_.node != nullptr) node = ports_.node->status();
  if (ports_.control != nullptr) control = ports_.control->status();
  write(out, 200,
        status_json(own_, node ? &*node : nullptr,
                    control ? &*control : nullptr));
}

void operator_server::show_burn(httplib::Response& out) {
  auto body = burn_body{};
  if (ports_.node != nullptr) {
    body.set.nodes[ports_.node->status().self] = ports_.node->burn();
  }
  if (ports_.control != nullptr) {
    auto pool = thread_pool{gather_threads};
    auto answers =
        std::vector<std::pair<std::string, std::future<http_response>>>{};
    for (const auto& server : ports_.control->status().servers) {
      if (server.call_address == own_.call_address) continue;
      auto task = std::make_shared<std::packaged_task<http_response()>>(
          [this, to = server.call_address] {
            return client_.get(to, "/v1/burn", gather_timeout);
          });
      answers.emplace_back(server.call_address.value, task->get_future());
      pool.enqueue([task] { (*task)(); });
    }
    for (auto& [address, answer] : answers) {
      auto got = parse_burn_body(answer.get().body);
      if (ok(got)) {
        body.set = merge(std::move(body.set), value(got).set);
      } else {
        body.missing.push_back(address);
      }
    }
    pool.shutdown();
  }
  out.set_content(to_json_text(body), json_type);
}

void operator_server::show_metrics(httplib::Response& out) {
  // The status refreshes the gauges of the node.
  if (ports_.node != nullptr) ports_.node->status();
  out.set_content(ports_.counters->text(), "text/plain; version=0.0.4");
}

void operator_server::show_ready(httplib::Response& out) {
  auto reason = std::string{};
  if (ports_.node != nullptr) {
    auto node = ports_.node->status();
    if (node.draining) reason = "draining";
    if (!node.ready) reason = "no control member has answered yet";
    if (node.isolated) reason = "isolated from the control members";
  }
  if (ports_.control != nullptr && reason.empty()) {
    reason = ports_.control->status().refusal;
  }
  out.status = reason.empty() ? 200 : 503;
  out.set_content(reason.empty() ? "ready" : reason, "text/plain");
}

void operator_server::drain(httplib::Response& out) {
  if (ports_.node == nullptr) {
    refuse(out, 404, "this process is not a node");
    return;
  }
  ports_.node->begin_drain();
  log_info("drain-begun");
  write(out, 200, {{"state", "draining"}});
}

void operator_server::undrain(httplib::Response& out) {
  if (ports_.node == nullptr) {
    refuse(out, 404, "this process is not a node");
    return;
  }
  if (!ports_.node->end_drain()) {
    refuse(out, 409, "requests of the drained backend server still run");
    return;
  }
  log_info("drain-ended");
  write(out, 200, {{"state", "serving"}});
}

}  // namespace figwind
