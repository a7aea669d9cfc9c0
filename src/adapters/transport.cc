#include "adapters/transport.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <utility>

#include "adapters/clock.h"

namespace figwind {
namespace {

constexpr auto send_buffer_messages = 64;
constexpr auto reconnect_min_ms = 100;
constexpr auto reconnect_max_ms = 1000;
// A node talks to its control member and to recorders, servers and entry nodes
// of its services; more sockets than this are closed, least recently used
// first. A control member is pushed to by 2,000 nodes and pushes to as many.
constexpr auto max_peers = std::size_t{4096};

// A connection whose path has lost track of it takes messages without an error
// for many minutes. A peer that was sent to and not heard of for this long is
// connected anew.
constexpr auto silence_limit = seconds(3);

auto url_of(const vm_address& address) -> std::string {
  return "tcp://" + address.value;
}

}  // namespace

/// A push socket to one process. nng connects and reconnects in the background.
class transport::peer {
 public:
  explicit peer(const vm_address& to) {
    nng_push0_open(&socket_);
    nng_socket_set_int(socket_, NNG_OPT_SENDBUF, send_buffer_messages);
    nng_socket_set_ms(socket_, NNG_OPT_RECONNMINT, reconnect_min_ms);
    nng_socket_set_ms(socket_, NNG_OPT_RECONNMAXT, reconnect_max_ms);
    nng_socket_set_bool(socket_, NNG_OPT_TCP_NODELAY, true);
    nng_dial(socket_, url_of(to).c_str(), nullptr, NNG_FLAG_NONBLOCK);
  }
  ~peer() { nng_close(socket_); }
  peer(const peer&) = delete;
  auto operator=(const peer&) -> peer& = delete;
  peer(peer&&) = delete;
  auto operator=(peer&&) -> peer& = delete;

  auto send(std::vector<char>& bytes) -> bool {
    return nng_send(socket_, bytes.data(), bytes.size(), NNG_FLAG_NONBLOCK) ==
           0;
  }

  std::uint64_t last_use = 0;
  /// Time of the first message sent since the peer was last heard of.
  std::optional<time_point> unheard_since;

 private:
  nng_socket socket_{};
};

class transport::listener {
 public:
  explicit listener(const vm_address& own) {
    nng_pull0_open(&socket_);
    nng_socket_set_size(socket_, NNG_OPT_RECVMAXSZ, max_message_size);
    if (nng_listen(socket_, url_of(own).c_str(), nullptr, 0) != 0) {
      nng_close(socket_);
      throw std::runtime_error{"cannot listen on " + own.value};
    }
  }
  ~listener() { close(); }
  listener(const listener&) = delete;
  auto operator=(const listener&) -> listener& = delete;
  listener(listener&&) = delete;
  auto operator=(listener&&) -> listener& = delete;

  /// Ends a waiting `receive`.
  void close() { nng_close(socket_); }

  /// Waits for a message; null after `close`.
  auto receive() -> nng_msg* {
    nng_msg* message = nullptr;
    return nng_recvmsg(socket_, &message, 0) == 0 ? message : nullptr;
  }

 private:
  nng_socket socket_{};
};

transport::transport(std::string cluster, vm_address own, receiver receive,
                     refusal_handler on_refusal)
    : cluster_{std::move(cluster)},
      own_{std::move(own)},
      receive_{std::move(receive)},
      on_refusal_{std::move(on_refusal)},
      listener_{std::make_unique<listener>(own_)},
      thread_{[this] { receive_all(); }} {}

transport::~transport() {
  listener_->close();
  thread_.join();
}

void transport::receive_all() {
  while (auto* message = listener_->receive()) {
    auto size = nng_msg_len(message);
    auto got = decode_envelope(
        cluster_, static_cast<const char*>(nng_msg_body(message)), size);
    nng_msg_free(message);
    ++counts_.received_messages;
    counts_.received_bytes += size;
    if (ok(got)) {
      note_heard(value(got).sender);
      receive_(value(got));
    } else {
      ++counts_.refused;
      on_refusal_(errors(got).front().message);
    }
  }
}

auto transport::peer_for(const vm_address& to) -> std::shared_ptr<peer> {
  auto lock = std::lock_guard{mutex_};
  auto now = steady_now();
  auto found = peers_.find(to);
  if (found != peers_.end() && found->second->unheard_since &&
      now - *found->second->unheard_since > silence_limit) {
    peers_.erase(found);
    found = peers_.end();
  }
  if (found == peers_.end()) {
    if (peers_.size() >= max_peers) drop_oldest();
    found = peers_.emplace(to, std::make_shared<peer>(to)).first;
  }
  auto& used = *found->second;
  used.last_use = ++use_;
  if (!used.unheard_since) used.unheard_since = now;
  return found->second;
}

void transport::note_heard(const vm_address& from) {
  auto lock = std::lock_guard{mutex_};
  auto found = peers_.find(from);
  if (found != peers_.end()) found->second->unheard_since.reset();
}

void transport::drop_oldest() {
  auto oldest = std::min_element(
      peers_.begin(), peers_.end(), [](const auto& a, const auto& b) {
        return a.second->last_use < b.second->last_use;
      });
  peers_.erase(oldest);
}

void transport::send(const vm_address& to, const process_message& message) {
  auto bytes = encode(cluster_, {own_, message});
  if (bytes.size() > max_message_size || !peer_for(to)->send(bytes)) {
    ++counts_.dropped;
    return;
  }
  ++counts_.sent_messages;
  counts_.sent_bytes += bytes.size();
}

}  // namespace figwind
