// One-way messages between figwind's processes over nng push and pull sockets.

#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "adapters/codec.h"
#include "figwind/ids.h"

namespace figwind {

/// Counters of one transport.
struct transport_counts {
  std::atomic<std::uint64_t> sent_messages{0};
  std::atomic<std::uint64_t> sent_bytes{0};
  std::atomic<std::uint64_t> received_messages{0};
  std::atomic<std::uint64_t> received_bytes{0};
  /// Not sent because the peer could not be reached or its buffer was full.
  std::atomic<std::uint64_t> dropped{0};
  /// Refused as malformed, oversized or foreign.
  std::atomic<std::uint64_t> refused{0};
};

/// Sends and receives messages; thread-safe. A message may be lost, never
/// altered; what is lost is sent again by the decisions.
class transport {
 public:
  using receiver = std::function<void(const envelope&)>;
  /// Told of each refused message with the reason.
  using refusal_handler = std::function<void(const std::string&)>;

  /// Listens on `own`; throws `std::runtime_error` when that fails.
  /// `receive` is called from a thread of the transport.
  transport(std::string cluster, vm_address own, receiver receive,
            refusal_handler on_refusal);
  ~transport();
  transport(const transport&) = delete;
  auto operator=(const transport&) -> transport& = delete;
  transport(transport&&) = delete;
  auto operator=(transport&&) -> transport& = delete;

  /// Sends `message` to the process at `to` without waiting.
  void send(const vm_address& to, const process_message& message);

  auto counts() const -> const transport_counts& { return counts_; }

 private:
  class peer;
  class listener;

  auto peer_for(const vm_address& to) -> std::shared_ptr<peer>;
  void note_heard(const vm_address& from);
  void receive_all();
  void drop_oldest();

  std::string cluster_;
  vm_address own_;
  receiver receive_;
  refusal_handler on_refusal_;
  transport_counts counts_;
  std::mutex mutex_;
  std::map<vm_address, std::shared_ptr<peer>> peers_;
  std::uint64_t use_ = 0;
  std::unique_ptr<listener> listener_;
  std::thread thread_;
};

}  // namespace figwind
