#include "adapters/peer_link.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <set>
#include <utility>

#include "adapters/fleet_codec.h"
#include "adapters/log.h"
#include "figwind/fleet_settings.h"

namespace figwind {
namespace {

using error_code = boost::system::error_code;

constexpr std::size_t read_size = std::size_t{16} << 10U;
// Size from which a message takes the link for large ones. A small TCP window
// moves 16 KiB in one round trip between failure domains.
constexpr std::size_t large_message_bytes = std::size_t{16} << 10U;
// Limit of unsent bytes. Beyond it the peer does not read, and the messages
// would arrive too late to be of use.
constexpr std::size_t max_unsent_bytes = std::size_t{48} << 20U;

// A peer that sends nothing back is pinged after `probe_after`. It gets no new
// calls after `unresponsive_after`: a round trip and a retransmission later.
constexpr auto probe_after = milliseconds(80);
constexpr auto unresponsive_after = milliseconds(330);
constexpr auto small_link_timeout = milliseconds(900);
constexpr auto large_link_timeout = milliseconds(2500);
// Time between two checks of the links beyond which the process stood still.
constexpr auto max_check_interval = milliseconds(200);

}  // namespace

link_session::link_session(tcp::socket socket, std::uint64_t number)
    : socket_{std::move(socket)}, number_{number} {
  disable_nagle(socket_);
  limit_unacknowledged_time(socket_);
  auto ignored = error_code{};
  socket_.non_blocking(true, ignored);
}

void link_session::start(handlers to) {
  handlers_ = std::move(to);
  wait_for_bytes();
}

void link_session::wait_for_bytes() {
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](error_code error) {
                       if (error) return self->fail();
                       self->receive();
                     });
}

void link_session::receive() {
  // One buffer serves all links of the thread: a process has hundreds of them,
  // and most are idle.
  static thread_local auto buffer = std::array<char, read_size>{};
  auto error = error_code{};
  const auto got = socket_.read_some(asio::buffer(buffer), error);
  if (error && error != asio::error::would_block) return fail();
  if (got > 0) {
    awaiting_bytes_since_ = {};
    is_probe_sent_ = false;
    const auto bytes = std::string_view{buffer.data(), got};
    if (input_.empty()) {
      input_ = bytes.substr(handle_frames(bytes));
    } else {
      input_ += bytes;
      input_.erase(0, handle_frames(input_));
    }
    if (input_.empty()) input_.shrink_to_fit();
  }
  if (is_open_) wait_for_bytes();
}

auto link_session::handle_frames(std::string_view bytes) -> std::size_t {
  auto used = std::size_t{0};
  while (is_open_ && bytes.size() - used >= frame_prefix_size) {
    const auto head = bytes.substr(used);
    const auto size = parse_frame_size(head);
    if (size > max_frame_size) {
      fail();
      break;
    }
    if (head.size() < frame_prefix_size + size) break;
    auto message = decode_frame(head.substr(frame_prefix_size, size));
    used += frame_prefix_size + size;
    if (!ok(message)) {
      log_warning("link_refused_frame",
                  {{"reason", errors(message).front().message}});
      fail();
      break;
    }
    const auto* ping = std::get_if<link_ping>(&value(message));
    if (ping == nullptr) {
      handlers_.on_message(value(std::move(message)));
    } else if (!ping->is_reply) {
      send(link_ping{true});
      // The peer does not respond to the reply to its ping.
      awaiting_bytes_since_ = {};
    }
  }
  return used;
}

void link_session::send(const fleet_message& message) {
  send_frame(encode_frame(message));
}

void link_session::send_frame(std::string frame) {
  if (!is_open_) return;
  unsent_bytes_ += frame.size();
  if (unsent_bytes_ > max_unsent_bytes) return fail();
  if (awaiting_bytes_since_.ms == 0) awaiting_bytes_since_ = steady_now();
  pending_frames_.push_back(std::move(frame));
  if (flush_scheduled_) return;
  flush_scheduled_ = true;
  // Combines the frames of one loop iteration into one write.
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->flush_scheduled_ = false;
    self->flush();
  });
}

void link_session::flush() {
  if (!is_open_ || !frames_in_write_.empty() || pending_frames_.empty()) return;
  frames_in_write_.swap(pending_frames_);
  auto buffers = std::vector<asio::const_buffer>{};
  for (const auto& x : frames_in_write_) buffers.push_back(asio::buffer(x));
  asio::async_write(
      socket_, buffers,
      [self = shared_from_this()](error_code error, std::size_t sent) {
        if (error) return self->fail();
        self->unsent_bytes_ -= sent;
        self->frames_in_write_.clear();
        self->flush();
      });
}

void link_session::check_liveness(time_point now, duration timeout) {
  if (!is_open_ || awaiting_bytes_since_.ms == 0) return;
  const auto silent = now - awaiting_bytes_since_;
  if (silent > timeout) {
    log_warning("link_silent", {{"ms", silent.ms}});
    return fail();
  }
  if (silent > probe_after && !is_probe_sent_) {
    is_probe_sent_ = true;
    send(link_ping{false});
  }
}

void link_session::skip_pause(duration pause, time_point now) {
  if (awaiting_bytes_since_.ms == 0) return;
  awaiting_bytes_since_ = std::min(awaiting_bytes_since_ + pause, now);
}

auto pause_detector::on_check(time_point now) -> duration {
  const auto before = std::exchange(last_check_, now);
  const auto passed = now - before;
  const auto is_late = before.ms != 0 && passed > max_check_interval;
  return is_late ? passed : duration{};
}

auto link_session::is_unresponsive(time_point now) const -> bool {
  return awaiting_bytes_since_.ms != 0 &&
         now - awaiting_bytes_since_ > unresponsive_after;
}

void link_session::close() {
  fail();
}

void link_session::fail() {
  if (!std::exchange(is_open_, false)) return;
  auto ignored = error_code{};
  socket_.close(ignored);
  // Posted because the handlers may own this session.
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    const auto to = std::exchange(self->handlers_, {});
    if (to.on_closed) to.on_closed();
  });
}

link_listener::link_listener(event_loop& loop, const tcp::endpoint& at,
                             session_handler handler)
    : loop_{loop}, acceptor_{loop, at, true}, handler_{std::move(handler)} {
  accept();
}

void link_listener::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      auto x = std::make_shared<link_session>(std::move(socket),
                                              ++last_session_number_);
      std::erase_if(sessions_, [](const auto& y) { return y.expired(); });
      sessions_.push_back(x);
      handler_(std::move(x));
    }
    accept();
  });
}

void link_listener::check_liveness(time_point now) {
  const auto pause = pauses_.on_check(now);
  for (const auto& x : sessions_) {
    const auto session = x.lock();
    if (!session) continue;
    session->skip_pause(pause, now);
    session->check_liveness(now, large_link_timeout);
  }
}

void link_listener::close() {
  auto ignored = error_code{};
  acceptor_.close(ignored);
}

link_dialer::link_dialer(event_loop& loop, std::string ip, large_link_use use,
                         handlers to)
    : loop_{loop},
      ip_{std::move(ip)},
      large_link_use_{use},
      handlers_{std::move(to)} {}

void link_dialer::set_peers(const std::vector<vm_address>& peers) {
  for (auto& [to, x] : peers_) x.is_wanted = false;
  for (const auto& address : peers) {
    peers_[{address, link_kind::small}].is_wanted = true;
    const auto large = link_key{address, link_kind::large};
    const auto known = peers_.find(large);
    if (known != peers_.end()) {
      known->second.is_wanted = true;
    } else if (large_link_use_ == large_link_use::always) {
      peers_.try_emplace(large);
    }
  }
  for (auto at = peers_.begin(); at != peers_.end();) {
    auto& x = at->second;
    if (x.is_wanted) {
      ++at;
      continue;
    }
    if (x.session) x.session->close();
    at = peers_.erase(at);
  }
}

auto link_dialer::is_reachable(const vm_address& peer) const -> bool {
  const auto found = peers_.find({peer, link_kind::small});
  if (found == peers_.end()) return false;
  return found->second.session != nullptr && !found->second.is_unresponsive;
}

auto link_dialer::has_failed(const vm_address& peer) const -> bool {
  const auto found = peers_.find({peer, link_kind::small});
  if (found == peers_.end()) return false;
  return found->second.is_unresponsive || found->second.attempt_failed;
}

auto link_dialer::open_session(const link_key& to) const
    -> std::shared_ptr<link_session> {
  const auto found = peers_.find(to);
  return found == peers_.end() ? nullptr : found->second.session;
}

auto link_dialer::send(const vm_address& to, const fleet_message& message)
    -> std::optional<link_kind> {
  auto frame = encode_frame(message);
  const auto small = open_session({to, link_kind::small});
  if (frame.size() >= large_message_bytes) {
    if (const auto large = open_session({to, link_kind::large})) {
      large->send_frame(std::move(frame));
      return link_kind::large;
    }
    if (small) peers_.try_emplace({to, link_kind::large});
    if (large_link_use_ == large_link_use::always) return std::nullopt;
  }
  if (!small) return std::nullopt;
  small->send_frame(std::move(frame));
  return link_kind::small;
}

void link_dialer::send_on(const vm_address& to, link_kind kind,
                          const fleet_message& message) {
  if (const auto session = open_session({to, kind})) session->send(message);
}

void link_dialer::broadcast(const fleet_message& message) {
  const auto frame = encode_frame(message);
  for (const auto& [to, x] : peers_) {
    if (to.kind == link_kind::small && x.session) x.session->send_frame(frame);
  }
}

void link_dialer::send_to_sample(const fleet_message& message,
                                 std::size_t count, random_source& random) {
  auto open = std::vector<std::shared_ptr<link_session>>{};
  for (const auto& [to, x] : peers_) {
    if (to.kind == link_kind::small && x.session) open.push_back(x.session);
  }
  const auto frame = encode_frame(message);
  for (auto i = std::size_t{0}; i < count && !open.empty(); ++i) {
    const auto at = random.index(open.size());
    open[at]->send_frame(frame);
    open[at] = std::move(open.back());
    open.pop_back();
  }
}

auto link_dialer::check_links(time_point now) -> bool {
  auto changed = std::exchange(new_failures_, false);
  const auto pause = pauses_.on_check(now);
  // Iterate over a copy: a handler may change the peers.
  auto keys = std::vector<link_key>{};
  for (const auto& [to, x] : peers_) keys.push_back(to);
  for (const auto& to : keys) {
    const auto found = peers_.find(to);
    if (found == peers_.end()) continue;
    auto& x = found->second;
    if (x.session) {
      x.session->skip_pause(pause, now);
      const auto is_small = to.kind == link_kind::small;
      const auto suspect = is_small && x.session->is_unresponsive(now);
      changed |= suspect != std::exchange(x.is_unresponsive, suspect);
      x.session->check_liveness(
          now, is_small ? small_link_timeout : large_link_timeout);
    } else if (x.connecting) {
      if (!x.backoff.has_timed_out(now)) continue;
      auto ignored = error_code{};
      x.connecting->close(ignored);
      x.connecting.reset();
      on_attempt_failed(to, x);
      connect(to, x, now);
    } else if (x.backoff.is_due(now)) {
      connect(to, x, now);
    }
  }
  return changed;
}

void link_dialer::connect(const link_key& to, peer_state& x, time_point now) {
  x.backoff.on_start(now);
  const auto endpoint = parse_endpoint(to.address);
  if (!endpoint) return;
  auto socket = std::make_shared<tcp::socket>(loop_);
  auto error = error_code{};
  socket->open(tcp::v4(), error);
  const auto from = parse_endpoint(address_at(ip_, 0));
  // If the IP address cannot be bound, connect anyway: most peers accept
  // another source address.
  if (!error && from) socket->bind(*from, error);
  if (error) {
    log_warning("link_source_refused",
                {{"ip", ip_}, {"problem", error.message()}});
  }
  x.connecting = socket;
  socket->async_connect(*endpoint, [this, to, socket](error_code error) {
    const auto found = peers_.find(to);
    if (found == peers_.end() || found->second.connecting != socket) return;
    found->second.connecting.reset();
    if (error) {
      on_attempt_failed(to, found->second);
    } else {
      on_opened(to, socket);
    }
  });
}

void link_dialer::on_attempt_failed(const link_key& to, peer_state& x) {
  x.backoff.on_failure();
  const auto is_new = !std::exchange(x.attempt_failed, true);
  new_failures_ |= is_new && to.kind == link_kind::small;
}

void link_dialer::on_opened(const link_key& to,
                            const std::shared_ptr<tcp::socket>& socket) {
  auto& x = peers_.at(to);
  const auto number = ++last_session_number_;
  x.session = std::make_shared<link_session>(std::move(*socket), number);
  x.is_unresponsive = false;
  x.attempt_failed = false;
  x.session->start({[this, to](fleet_message m) {
                      const auto found = peers_.find(to);
                      if (found != peers_.end())
                        found->second.backoff.on_success();
                      handlers_.on_message(to.address, std::move(m));
                    },
                    [this, to, number] { on_lost(to, number); }});
  if (to.kind == link_kind::small && handlers_.on_connected)
    handlers_.on_connected(to.address);
}

void link_dialer::on_lost(const link_key& to, std::uint64_t number) {
  const auto found = peers_.find(to);
  const auto known = found != peers_.end() && found->second.session &&
                     found->second.session->number() == number;
  if (known) found->second.session.reset();
  if (handlers_.on_disconnected) handlers_.on_disconnected(to.address, to.kind);
}

}  // namespace figwind
