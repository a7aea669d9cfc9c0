#include "adapters/peer_link.h"

#include <gtest/gtest.h>

#include <boost/asio/write.hpp>

#include "adapters/fleet_codec.h"
#include "section.h"

namespace figwind {
namespace {

using test::section;

constexpr auto small_bytes = std::size_t{100};
// With its headers, a frame of this body is above 16 KiB, the body is not.
constexpr auto nearly_large_bytes = (std::size_t{16} << 10U) - 10;

auto call_with_body(std::uint64_t number, std::size_t bytes) -> call_request {
  auto x = call_request{};
  x.call = number;
  x.body = std::string(bytes, 'x');
  return x;
}

/// A listener on a port chosen by the system, and a dialer with a link to it.
class link_pair {
 public:
  explicit link_pair(large_link_use use)
      : listener_{loop, *parse_endpoint({"127.0.0.1:0"}),
                  [this](const std::shared_ptr<link_session>& x) {
                    x->start({[this](fleet_message m) {
                                received.push_back(std::move(m));
                              },
                              [this] { ++closed; }});
                    sessions.push_back(x);
                  }},
        peer{"127.0.0.1:" + std::to_string(listener_.port())},
        dialer{loop,
               "127.0.0.1",
               use,
               {[](const vm_address&, const fleet_message&) {},
                [](const vm_address&) {},
                [this](const vm_address&, link_kind kind) {
                  lost.push_back(kind);
                }}} {
    dialer.set_peers({peer});
    run_until([this] { return dialer.is_reachable(peer); });
  }

  template <class Condition>
  void run_until(Condition&& done) {
    const auto end = steady_now() + seconds(60);
    while (!done() && steady_now() < end) {
      dialer.check_links(steady_now());
      loop.run_for(std::chrono::milliseconds{2});
      loop.restart();
    }
    EXPECT_TRUE(done());
  }

  event_loop loop;
  std::vector<std::shared_ptr<link_session>> sessions;
  std::vector<fleet_message> received;
  int closed = 0;
  std::vector<link_kind> lost;

 private:
  link_listener listener_;

 public:
  vm_address peer;
  link_dialer dialer;
};

// Guards against a node that keeps two connections to each of hundreds of
// nodes, although it sends large messages to few of them.
TEST(peer_link, opens_the_link_for_large_messages_on_demand) {
  auto x = link_pair{large_link_use::on_demand};
  EXPECT_EQ(x.dialer.send(x.peer, call_with_body(1, small_bytes)),
            link_kind::small);
  x.run_until([&] { return x.received.size() == 1; });
  EXPECT_EQ(x.sessions.size(), 1U);
  section("the first large message takes the small link", [&] {
    EXPECT_EQ(x.dialer.send(x.peer, call_with_body(2, nearly_large_bytes)),
              link_kind::small);
    x.run_until([&] { return x.received.size() == 2; });
    x.run_until([&] { return x.sessions.size() == 2; });
  });
  section("later ones take the large link once it is open", [&] {
    auto number = std::uint64_t{3};
    x.run_until([&] {
      return x.dialer.send(x.peer,
                           call_with_body(number++, nearly_large_bytes)) ==
             link_kind::large;
    });
  });
  section("its loss leaves the calls of the small link alone", [&] {
    x.sessions.back()->close();
    x.run_until([&] { return !x.lost.empty(); });
    EXPECT_EQ(x.lost, std::vector{link_kind::large});
    EXPECT_EQ(x.dialer.send(x.peer, call_with_body(9, nearly_large_bytes)),
              link_kind::small);
  });
}

TEST(peer_link, keeps_both_links_open_where_no_message_may_wait) {
  auto x = link_pair{large_link_use::always};
  x.run_until([&] { return x.sessions.size() == 2; });
  x.run_until([&] {
    return x.dialer.send(x.peer, call_with_body(1, nearly_large_bytes)) ==
           link_kind::large;
  });
}

// Guards against frames that are lost or joined wrongly when the network hands
// them over in pieces, since all links read into one buffer.
TEST(peer_link, reads_frames_that_arrive_in_pieces) {
  auto x = link_pair{large_link_use::on_demand};
  const auto frames = encode_frame(call_with_body(1, small_bytes)) +
                      encode_frame(call_with_body(2, 3 * nearly_large_bytes));
  auto sockets = std::vector<tcp::socket>{};
  for (auto i = 0; i < 2; ++i) {
    sockets.emplace_back(x.loop);
    sockets.back().connect(*parse_endpoint(x.peer));
  }
  const auto write = [&](tcp::socket& to, std::size_t first, std::size_t size) {
    asio::write(to, asio::buffer(frames.data() + first, size));
    x.loop.run_for(std::chrono::milliseconds{1});
    x.loop.restart();
  };
  constexpr auto piece = std::size_t{97};
  for (auto at = std::size_t{0}; at < frames.size(); at += piece) {
    for (auto& socket : sockets) {
      write(socket, at, std::min(piece, frames.size() - at));
    }
  }
  x.run_until([&] { return x.received.size() == 4; });
  auto bytes = std::map<std::uint64_t, std::vector<std::size_t>>{};
  for (const auto& m : x.received) {
    const auto& call = std::get<call_request>(m);
    bytes[call.call].push_back(call.body.size());
  }
  EXPECT_EQ(bytes[1], (std::vector{small_bytes, small_bytes}));
  EXPECT_EQ(bytes[2],
            (std::vector{3 * nearly_large_bytes, 3 * nearly_large_bytes}));
}

// Guards against links that a process closes after a pause of its own, with the
// answers that arrived meanwhile: their requests ran, and callers got none.
TEST(peer_link, counts_no_pause_of_its_own_process_as_silence) {
  auto x = link_pair{large_link_use::on_demand};
  const auto start = steady_now();
  x.dialer.check_links(start);
  x.dialer.send(x.peer, call_with_body(1, small_bytes));
  // The process stands still before the frame is written.
  x.dialer.check_links(start + seconds(2));
  EXPECT_TRUE(x.dialer.is_reachable(x.peer));
  x.run_until([&] { return x.received.size() == 1; });
  EXPECT_TRUE(x.lost.empty());
  section("a peer that stays silent is lost", [&] {
    auto now = start + seconds(2);
    x.dialer.send(x.peer, call_with_body(2, small_bytes));
    for (auto i = 0; i < 30; ++i) {
      now = now + milliseconds(50);
      x.dialer.check_links(now);
    }
    x.run_until([&] { return !x.lost.empty(); });
  });
}

}  // namespace
}  // namespace figwind
