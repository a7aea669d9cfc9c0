// A small stand-in for the operator side of the daemon, with faults.

#pragma once

#include <httplib.h>

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "adapters/call_headers.h"

namespace figwind::test {

/// How a stand-in treats a request to change something.
enum class fault {
  none,
  /// Carries it out and closes the connection within the answer.
  lose_answer,
  /// Closes the connection without carrying it out.
  close,
  /// Carries it out and answers with half of the JSON text.
  damage,
  /// Does not answer until the stand-in ends.
  silence,
  unavailable,
  no_leader,
  /// Names the next stand-in as the leader.
  other_leader,
  refuse_token,
  findings,
  server_error,
};

/// What the stand-ins of one test share, as control members share the log.
struct shared_log {
  std::mutex mutex;
  std::uint64_t version = 1;
  std::string author = "ana";
  std::string text;
  std::map<std::string, std::uint64_t> accepted;
  std::set<std::string> requests;
  int posts = 0;
  std::string status = "{}";
  std::string burn = R"({"nodes":[],"missing":[]})";
};

class stand_in {
 public:
  stand_in(shared_log& log, fault how) : log_{log}, how_{how} {
    server_.new_task_queue = [] { return new httplib::ThreadPool(4); };
    server_.set_tcp_nodelay(true);
    add_reads();
    server_.Post("/v1/config", [this](const auto& in, auto& out) {
      change(in, out, [&] { apply(in, out); });
    });
    server_.Post("/v1/members/replace", [this](const auto& in, auto& out) {
      change(in, out, [&] { out.set_content("{}", "application/json"); });
    });
    server_.Post("/v1/(drain|undrain)", [this](const auto& in, auto& out) {
      auto state = in.matches[1] == "drain" ? "draining" : "serving";
      change(in, out, [&] { out.set_content(object("state", state), "json"); });
    });
    server_.Post("/v1/call/(.*)", [this](const auto& in, auto& out) {
      change(in, out, [&] { serve_call(in, out); });
    });
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread{[this] { server_.listen_after_bind(); }};
    while (!server_.is_running()) std::this_thread::yield();
  }
  stand_in(const stand_in&) = delete;
  auto operator=(const stand_in&) -> stand_in& = delete;
  ~stand_in() {
    release();
    server_.stop();
    thread_.join();
  }

  auto address() const -> std::string {
    return "127.0.0.1:" + std::to_string(port_);
  }

  void set_leader(std::string leader) { leader_ = std::move(leader); }

  /// Outcome, reason and body of calls.
  void set_call(std::string outcome, std::string reason) {
    outcome_ = std::move(outcome);
    reason_ = std::move(reason);
  }

  /// Ends all silent handlers.
  void release() {
    auto lock = std::lock_guard{mutex_};
    released_ = true;
    change_.notify_all();
  }

 private:
  static auto object(const std::string& key, const std::string& text)
      -> std::string {
    return nlohmann::json{{key, text}}.dump();
  }

  void add_reads() {
    server_.Get("/v1/(.*)", [this](const auto& in, auto& out) {
      auto lock = std::lock_guard{log_.mutex};
      auto what = in.matches[1].str();
      auto body = what == "burn" ? log_.burn : log_.status;
      if (what == "config") {
        body = nlohmann::json{{"version", log_.version},
                              {"author", log_.author},
                              {"text", log_.text},
                              {"isolated", false}}
                   .dump();
      }
      if (how_ == fault::damage) body.resize(body.size() / 2);
      out.set_content(body, "application/json");
    });
  }

  template <class Act>
  void change(const httplib::Request& in, httplib::Response& out, Act act) {
    {
      auto lock = std::lock_guard{log_.mutex};
      ++log_.posts;
      log_.requests.insert(in.get_header_value("Figwind-Request"));
    }
    switch (how_) {
      case fault::none:
        return act();
      case fault::lose_answer:
        act();
        return cut(out);
      case fault::close:
        return cut(out);
      case fault::damage:
        act();
        return out.set_content(out.body.substr(0, out.body.size() / 2), "json");
      case fault::silence:
        return wait();
      case fault::unavailable:
        return answer(out, 503, object("reason", "the disk is full"));
      case fault::no_leader:
        return answer(out, 421, object("leader", ""));
      case fault::other_leader:
        return answer(out, 421, object("leader", leader_));
      case fault::refuse_token:
        return answer(out, 401, "");
      case fault::findings:
        return answer(
            out, 400,
            R"({"findings":[{"file":"x.ini","line":3,"section":"class )"
            R"(a","key":"latency","message":"cannot be met"}]})");
      case fault::server_error:
        return answer(out, 500, "");
    }
  }

  void apply(const httplib::Request& in, httplib::Response& out) {
    auto lock = std::lock_guard{log_.mutex};
    auto request = in.get_header_value("Figwind-Request");
    if (in.get_header_value("Authorization") != "Bearer secret") {
      return answer(out, 401, "");
    }
    if (log_.accepted.count(request) == 0) {
      if (in.get_header_value("Figwind-Base") != std::to_string(log_.version)) {
        auto body =
            nlohmann::json{{"version", log_.version}, {"author", log_.author}};
        return answer(out, 409, body.dump());
      }
      log_.accepted[request] = ++log_.version;
      log_.author = in.get_header_value("Figwind-Author");
      log_.text = in.body;
    }
    auto body = nlohmann::json{{"version", log_.accepted[request]}};
    answer(out, 200, body.dump());
  }

  void serve_call(const httplib::Request& in, httplib::Response& out) {
    out.set_header("Figwind-Outcome", outcome_);
    if (!reason_.empty()) out.set_header("Figwind-Reason", reason_);
    out.set_header("Figwind-Request-Id", "7");
    auto body = in.get_header_value("Figwind-Key") + ":" + in.body;
    out.set_header("Figwind-Checksum", to_hex(checksum(body)));
    out.set_content(body, "text");
  }

  static void answer(httplib::Response& out, int status,
                     const std::string& body) {
    out.status = status;
    out.set_content(body, "application/json");
  }

  /// Announces a body and closes the connection before its end.
  static void cut(httplib::Response& out) {
    out.body.clear();
    out.set_content_provider(
        100, "text/plain",
        [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
  }

  void wait() {
    auto lock = std::unique_lock{mutex_};
    change_.wait(lock, [this] { return released_; });
  }

  shared_log& log_;
  fault how_;
  std::string leader_;
  std::string outcome_ = "complete";
  std::string reason_;
  std::mutex mutex_;
  std::condition_variable change_;
  bool released_ = false;
  httplib::Server server_;
  int port_ = 0;
  std::thread thread_;
};

}  // namespace figwind::test
