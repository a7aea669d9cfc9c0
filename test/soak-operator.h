// The operator of a soak: changes, races, resends and reads of the desired
// state, at any control member.

#pragma once

#include <map>
#include <string>
#include <vector>

#include "figwind/random.h"
#include "soak-fleet.h"
#include "soak-http.h"
#include "soak-promises.h"

namespace figwind::soak {

class desired_state_operator {
 public:
  desired_state_operator(event_loop& loop, promises& seen,
                         std::vector<const system_process*> members,
                         random_source random)
      : loop_{loop},
        seen_{seen},
        members_{std::move(members)},
        random_{random} {}

  /// Sends the next change; two on one base when `race`.
  void change(bool race) {
    if (open_ > 0) return;
    const auto base = accepted_;
    for (auto i = 0; i < (race ? 2 : 1); ++i) {
      ++open_;
      const auto label = next_++;
      const auto body = text(label, i);
      texts_[label] = body;
      send(base, label, body, 60);
    }
    raced_ = race;
    won_ = 0;
  }

  /// Sends a state that no member may accept.
  void send_invalid() {
    auto body = text(accepted_, 0);
    ask(http::verb::put, std::to_string(accepted_), body,
        [this](const exchange_end& end) {
          if (end.answer && end.answer->result_int() == 200) {
            seen_.broken("CONFIG: a state without a newer version is accepted");
          }
        });
  }

  /// Reads at any member; an answer must not be older than what was accepted
  /// well before.
  void read() {
    const auto floor =
        steady_now() - accepted_at_ > seconds(2) ? accepted_ : settled_;
    ask(http::verb::get, {}, {}, [this, floor](const exchange_end& end) {
      if (!end.answer || end.answer->result_int() != 200) return;
      const auto label = label_of(end.answer->body());
      last_read_ = label;
      if (label < floor) {
        seen_.broken("CONFIG: read " + std::to_string(label) + " after " +
                     std::to_string(floor) + " was accepted");
      }
      if (texts_.count(label) == 0) {
        seen_.broken("CONFIG: read a state that was never sent");
      }
    });
  }

  [[nodiscard]] auto accepted() const -> std::uint64_t { return accepted_; }
  [[nodiscard]] auto idle() const -> bool { return open_ == 0; }
  [[nodiscard]] auto last_read() const -> std::uint64_t { return last_read_; }

 private:
  /// Each fourth state has so many routes more, some 500 KB.
  static constexpr auto large_state_period = 4;
  static constexpr auto large_state = 2800;

  static auto label_of(const std::string& body) -> std::uint64_t {
    const auto at = body.find("\"version\":\"r");
    return at == std::string::npos ? 0 : std::stoull(body.substr(at + 12));
  }

  /// A desired state; `variant` tells rivals on one base apart.
  static auto text(std::uint64_t label, int variant) -> std::string {
    const auto route = [](const std::string& name, const std::string& kind,
                          const std::string& service) {
      return R"({"type":"routes","metadata":{"name":")" + name +
             R"("},"spec":{"host":"a.example","path-prefix":"/)" + name +
             R"(/","route-type":")" + kind +
             R"(","timeout":"2500ms","target-latency":"1s","priority":1,)" +
             R"("attempts":2,"service":")" + service + R"("}},)";
    };
    const auto service = [](const std::string& name) {
      return R"({"type":"services","metadata":{"name":")" + name +
             R"("},"spec":{"health-path":"/health","max-conns":100}},)";
    };
    auto many = std::string{};
    for (auto i = 0; i < (label % large_state_period == 0 ? large_state : 0);
         ++i) {
      many += route("many" + std::to_string(i), "idempotent", "deep");
    }
    return R"({"version":"r)" + std::to_string(label) + R"(","resources":[)" +
           many + route("read", "idempotent", "front") +
           route("act", "non_idempotent", "front") +
           route("up", "upload", "deep") + route("deep", "idempotent", "deep") +
           route("v" + std::to_string(label) + "-" + std::to_string(variant),
                 "idempotent", "deep") +
           service("front") + service("deep") +
           R"({"type":"limits","metadata":{},"spec":{)" +
           R"("max-header-bytes":16384,"max-body-bytes":67108864,)" +
           R"("header-timeout":"3000ms","idle-timeout":"15000ms"}}]})";
  }

  void ask(http::verb method, const std::string& base, const std::string& body,
           const http_connection::handler& done, int redirects = 2,
           vm_address to = {}) {
    if (to.value.empty()) {
      to = address_at(members_[random_.index(members_.size())]->ip,
                      control_port);
    }
    auto asked = make_request(method, "/v1/config", body);
    if (!base.empty()) asked.set(http::field::if_match, base);
    call_once(loop_, to, std::move(asked), seconds(1),
              [=, this](const exchange_end& end) {
                const auto moved =
                    end.answer && end.answer->result_int() == 307;
                if (!moved || redirects == 0) return done(end);
                auto next = std::string{(*end.answer)[http::field::location]};
                next = next.substr(next.find("//") + 2);
                ask(method, base, body, done, redirects - 1,
                    {next.substr(0, next.find('/'))});
              });
  }

  void send(std::uint64_t base, std::uint64_t label, const std::string& body,
            int tries) {
    const auto text_base =
        base == 0 ? std::string{"0"} : "r" + std::to_string(base);
    ask(http::verb::put, text_base, body, [=, this](const exchange_end& end) {
      const auto status = end.answer ? end.answer->result_int() : 0U;
      if (status == 200) return accept(base, label);
      if (status == 412 || status == 409) return refuse(label);
      if (status >= 400 && status < 500 && status != 408 && status != 429) {
        seen_.broken("CONFIG: a proper change got " + std::to_string(status));
        return refuse(label);
      }
      if (tries == 0) return refuse(label);
      auto timer = std::make_shared<asio::steady_timer>(loop_);
      timer->expires_after(std::chrono::milliseconds{200});
      timer->async_wait([=, this](error_code) {
        (void)timer;
        send(base, label, body, tries - 1);
      });
    });
  }

  void accept(std::uint64_t base, std::uint64_t label) {
    --open_;
    if (++won_ > 1) {
      seen_.broken("CONFIG: two changes on " + std::to_string(base) +
                   " are accepted");
    }
    settled_ = accepted_;
    accepted_ = std::max(accepted_, label);
    accepted_at_ = steady_now();
  }

  void refuse(std::uint64_t label) {
    --open_;
    // Alone on its base, a change has no rival that may have won.
    if (!raced_) {
      seen_.broken("CONFIG: change " + std::to_string(label) +
                   " is refused without a rival");
    }
  }

  event_loop& loop_;
  promises& seen_;
  std::vector<const system_process*> members_;
  random_source random_;
  std::uint64_t next_ = 1;
  std::uint64_t accepted_ = 0;
  std::uint64_t settled_ = 0;
  std::uint64_t last_read_ = 0;
  time_point accepted_at_;
  std::map<std::uint64_t, std::string> texts_;
  int open_ = 0;
  int won_ = 0;
  bool raced_ = false;
};

}  // namespace figwind::soak
