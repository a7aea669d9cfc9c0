// TCP links between the processes of the fleet. Both directions carry frames of
// `fleet_codec.h`; a silent link is probed and then closed.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "adapters/asio.h"
#include "adapters/clock.h"
#include "figwind/fleet_messages.h"
#include "figwind/random.h"
#include "figwind/reconnect_backoff.h"

namespace figwind {

/// A connection; it stays alive until it is closed or breaks.
class link_session : public std::enable_shared_from_this<link_session> {
 public:
  struct handlers {
    std::function<void(fleet_message)> on_message;
    /// Called once when the connection has ended, also after `close`.
    std::function<void()> on_closed;
  };

  link_session(tcp::socket socket, std::uint64_t number);

  void start(handlers to);
  void send(const fleet_message& message);
  void send_frame(std::string frame);
  void close();

  /// Sends a ping 80 ms after a frame to which no bytes came back; closes the
  /// connection after `timeout`.
  void check_liveness(time_point now, duration timeout);

  /// This process stood still for the time `pause` until `now`. What the peer
  /// sent meanwhile was not read, so the time does not count as silence.
  void skip_pause(duration pause, time_point now);

  /// True if no byte has arrived for 330 ms after a frame was sent.
  [[nodiscard]] auto is_unresponsive(time_point now) const -> bool;

  [[nodiscard]] auto number() const -> std::uint64_t { return number_; }
  [[nodiscard]] auto unsent_bytes() const -> std::size_t {
    return unsent_bytes_;
  }

 private:
  void wait_for_bytes();
  void receive();
  /// Handles the complete frames at the start of `bytes`; returns their size.
  auto handle_frames(std::string_view bytes) -> std::size_t;
  void flush();
  void fail();

  tcp::socket socket_;
  std::uint64_t number_;
  handlers handlers_;
  /// The received part of a frame; empty while the link is idle.
  std::string input_;
  std::vector<std::string> pending_frames_;
  std::vector<std::string> frames_in_write_;
  std::size_t unsent_bytes_ = 0;
  bool flush_scheduled_ = false;
  bool is_open_ = true;
  /// Send time of the first frame since the last received byte; 0 if none.
  time_point awaiting_bytes_since_;
  bool is_probe_sent_ = false;
};

/// Finds times in which this process stood still, from the times of checks that
/// are due about every 50 ms.
class pause_detector {
 public:
  /// Returns the time since the last check, or 0 if the check is not late.
  auto on_check(time_point now) -> duration;

 private:
  time_point last_check_;
};

/// Accepts links from other processes.
class link_listener {
 public:
  using session_handler = std::function<void(std::shared_ptr<link_session>)>;

  link_listener(event_loop& loop, const tcp::endpoint& at,
                session_handler handler);

  void check_liveness(time_point now);
  void close();

  /// Port on which it listens; chosen by the system if the endpoint had 0.
  [[nodiscard]] auto port() const -> std::uint16_t {
    return acceptor_.local_endpoint().port();
  }

 private:
  void accept();

  event_loop& loop_;
  tcp::acceptor acceptor_;
  session_handler handler_;
  std::uint64_t last_session_number_ = 0;
  std::vector<std::weak_ptr<link_session>> sessions_;
  pause_detector pauses_;
};

/// The link that a message takes.
enum class link_kind : std::uint8_t { small, large };

/// When a dialer opens the links for large messages.
enum class large_link_use : std::uint8_t {
  /// With the first large message, which takes the small link itself. Most
  /// peers of a node never get one.
  on_demand,
  /// Together with the small links, so that no large message ever delays small
  /// ones.
  always,
};

/// Links that this process opens: to each peer one for small messages and one
/// for large ones, so that a large body does not delay small messages.
class link_dialer {
 public:
  struct handlers {
    std::function<void(const vm_address&, fleet_message)> on_message;
    /// The link for small messages was opened.
    std::function<void(const vm_address&)> on_connected;
    /// A link was lost, and with it all messages in transit.
    std::function<void(const vm_address&, link_kind)> on_disconnected;
  };

  /// Links are opened from the IP address `ip`, by which firewalls and peers
  /// identify the process.
  link_dialer(event_loop& loop, std::string ip, large_link_use use,
              handlers to);

  /// Keeps links to these peers open and closes links to others.
  void set_peers(const std::vector<vm_address>& peers);

  /// Returns the link that the message takes; `std::nullopt`, without sending,
  /// if none is open.
  auto send(const vm_address& to, const fleet_message& message)
      -> std::optional<link_kind>;

  /// Sends on this link, if it is open. For messages about an earlier one,
  /// which the peer knows by the link that it came on.
  void send_on(const vm_address& to, link_kind kind,
               const fleet_message& message);

  /// Sends to all peers with an open link for small messages.
  void broadcast(const fleet_message& message);
  /// Sends to `count` of these peers, chosen at random.
  void send_to_sample(const fleet_message& message, std::size_t count,
                      random_source& random);

  /// True if the link for small messages is open and the peer responds.
  [[nodiscard]] auto is_reachable(const vm_address& peer) const -> bool;

  /// True if the peer does not respond, or the last attempt to open the link
  /// for small messages failed. False while the first attempt is in progress.
  [[nodiscard]] auto has_failed(const vm_address& peer) const -> bool;

  /// Reopens lost links and checks silent ones; call about every 50 ms.
  /// Returns true if `is_reachable` or `has_failed` has changed for a peer
  /// without an `on_connected` or `on_disconnected`.
  auto check_links(time_point now) -> bool;

 private:
  struct peer_state {
    std::shared_ptr<link_session> session;
    std::shared_ptr<tcp::socket> connecting;
    reconnect_backoff backoff;
    bool is_wanted = true;
    bool is_unresponsive = false;
    bool attempt_failed = false;
  };
  struct link_key {
    vm_address address;
    link_kind kind = link_kind::small;

    friend auto operator<(const link_key& a, const link_key& b) -> bool {
      return std::tie(a.address, a.kind) < std::tie(b.address, b.kind);
    }
  };

  [[nodiscard]] auto open_session(const link_key& to) const
      -> std::shared_ptr<link_session>;
  void connect(const link_key& to, peer_state& x, time_point now);
  void on_attempt_failed(const link_key& to, peer_state& x);
  void on_opened(const link_key& to,
                 const std::shared_ptr<tcp::socket>& socket);
  void on_lost(const link_key& to, std::uint64_t number);

  event_loop& loop_;
  std::string ip_;
  large_link_use large_link_use_;
  handlers handlers_;
  std::map<link_key, peer_state> peers_;
  pause_detector pauses_;
  /// True if an attempt to open a link has failed since the last check.
  bool new_failures_ = false;
  std::uint64_t last_session_number_ = 0;
};

}  // namespace figwind
