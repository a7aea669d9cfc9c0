// Callers of a soak: kept and fresh connections to all nodes, requests of all
// kinds, and callers that leave early.

#pragma once

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "figwind/random.h"
#include "soak-calm.h"
#include "soak-fleet.h"
#include "soak-http.h"
#include "soak-promises.h"

namespace figwind::soak {

/// One caller at one node, which sends a request after the other.
class caller {
 public:
  caller(event_loop& loop, promises& seen, const calm& quiet,
         const system_process& node, random_source random)
      : loop_{loop},
        seen_{seen},
        quiet_{quiet},
        node_{node},
        random_{random},
        timer_{loop} {}

  void run() {
    if (stopped_) return;
    if (!connection_ || !connection_->usable() || random_.chance(0.2)) {
      if (connection_) connection_->close();
      connection_ = std::make_shared<http_connection>(
          loop_, address_at(node_.ip, call_port));
    }
    auto asked = choose();
    const auto id = std::string{asked["X-Attempt-Id"]};
    const auto limit = seconds(random_.chance(0.05) ? 0.05 : 3);
    const auto sent_at = steady_now();
    connection_->send(std::move(asked), limit,
                      [this, id, sent_at](const exchange_end& end) {
                        take(id, sent_at, end);
                        wait();
                      });
  }

  void stop() { stopped_ = true; }

  double poison_share = 0;

 private:
  auto poison() const -> sent_request {
    return {"GET", "/deep/poison", "", node_.service, true};
  }

  auto choose() -> request {
    const auto kind = random_.index(4);
    auto digits = std::array<char, 32>{};
    std::snprintf(digits.data(), digits.size(), "%016llx",
                  static_cast<unsigned long long>(random_.bits()));
    const auto id = std::string{digits.data()};
    auto sent = sent_request{"GET", "/read/" + id, "", node_.service, true};
    if (kind == 1) sent = {"POST", "/act/" + id, "do " + id, node_.service};
    if (kind == 2) {
      sent = {"POST", "/up/" + id,
              std::string(2000 + random_.index(40'000), 'u'), node_.service};
    }
    if (kind == 3) sent.target = "/deep/" + id + "?page=1";
    // One such request comes again and again, with the same path.
    if (random_.chance(poison_share)) sent = poison();
    const auto verb = http::string_to_verb(sent.method);
    auto out = make_call(verb, sent.target, id, seconds(3), sent.body);
    // Set by the system, whatever a caller claims.
    if (random_.chance(0.1)) out.set("X-Caller-Service", "forged");
    if (random_.chance(0.1)) out.set(http::field::connection, "close");
    seen_.sent(id, sent);
    return out;
  }

  void take(const std::string& id, time_point sent_at,
            const exchange_end& end) {
    if (end.answer) {
      const auto& x = *end.answer;
      seen_.answered(id, static_cast<int>(x.result_int()),
                     std::string{x["X-Response-Signature"]}, x.body());
      return;
    }
    if (end.timed_out || !end.written) return;
    // A request that crosses the end of a kept connection was not read; one
    // that ran, or waited longer, was.
    constexpr auto crossing = milliseconds(200);
    const auto read = seen_.has_run(id) || steady_now() - sent_at > crossing;
    if (read && quiet_.has_lasted(seconds(6), steady_now())) seen_.lost(id);
  }

  void wait() {
    timer_.expires_after(std::chrono::milliseconds{5 + random_.index(60)});
    timer_.async_wait([this](error_code error) {
      if (!error) run();
    });
  }

  event_loop& loop_;
  promises& seen_;
  const calm& quiet_;
  const system_process& node_;
  random_source random_;
  asio::steady_timer timer_;
  std::shared_ptr<http_connection> connection_;
  bool stopped_ = false;
};

}  // namespace figwind::soak
