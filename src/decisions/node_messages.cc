// Message handlers of node_core and the encoding of recorder groups.

#include <utility>

#include "figwind/bytes.h"
#include "figwind/node_core.h"

namespace figwind {
namespace {

constexpr auto group_format_version = std::uint8_t{1};
constexpr auto max_recorders = std::uint32_t{16};

void write_node(byte_writer& to, const node_id& x) {
  to.put_string(x.address.value);
  to.put_u64(x.start.value);
}

auto read_node(byte_reader& from) -> node_id {
  auto address = from.get_string();
  auto start = from.get_u64();
  return {{std::move(address)}, {start}};
}

}  // namespace

auto encode(const recorder_group& group) -> std::string {
  auto to = byte_writer{};
  to.put_u8(group_format_version);
  to.put_string(group.domain.value);
  to.put_u32(group.index);
  to.put_u64(group.epoch);
  to.put_u32(static_cast<std::uint32_t>(group.recorders.size()));
  for (const auto& recorder : group.recorders) write_node(to, recorder);
  write_node(to, group.joined);
  write_node(to, group.joining);
  write_node(to, group.leaving);
  to.put_double(group.min_creation_ms);
  return to.take();
}

auto decode_group(const std::string& bytes) -> result<recorder_group> {
  auto from = byte_reader{bytes};
  auto group = recorder_group{};
  auto format = from.get_u8();
  group.domain.value = from.get_string();
  group.index = from.get_u32();
  group.epoch = from.get_u64();
  auto count = from.get_u32();
  if (format != group_format_version || count > max_recorders) {
    return findings{{{}, "recorder group record has an unknown format"}};
  }
  for (auto i = 0U; i < count; ++i) group.recorders.push_back(read_node(from));
  group.joined = read_node(from);
  group.joining = read_node(from);
  group.leaving = read_node(from);
  group.min_creation_ms = from.get_double();
  if (!from.complete()) {
    return findings{{{}, "recorder group record has a wrong length"}};
  }
  return group;
}

auto node_core::on_message(const node_message& message, time_point now,
                           time_point unix_now) -> node_output {
  auto out = node_output{};
  std::visit([&](const auto& m) { handle(m, out, now, unix_now); }, message);
  return out;
}

void node_core::handle(const heartbeat_reply& m, node_output& out,
                       time_point now, time_point unix_now) {
  auto effect = view_.on_reply(m, now);
  add(out, effect.heartbeats);
  for (const auto& config : effect.configs) {
    auto problems = put_in_force(config.version, config.text);
    if (problems.empty() && version_ == config.version) {
      out.in_force = config.version;
    }
  }
  for (const auto& update : effect.groups) set_group(update);
  refresh_servers(out, now, unix_now);
}

void node_core::set_group(const group_update& update) {
  auto group = decode_group(update.record);
  if (!ok(group)) return;
  auto decoded = value(std::move(group));
  decoded.version = update.version;
  recorder_.set_group(decoded);
  server_runs_.set_group(decoded);
}

void node_core::handle(const record_request& m, node_output& out,
                       time_point /*now*/, time_point unix_now) {
  auto reply = recorder_.on_request(m, unix_now);
  out.messages.push_back({reply.to, std::move(reply.message)});
}

void node_core::handle(const record_reply& m, node_output& out, time_point now,
                       time_point /*unix_now*/) {
  add(out, server_runs_.on_record_reply(m, now), now);
}

void node_core::handle(const seal_request& m, node_output& out,
                       time_point /*now*/, time_point unix_now) {
  auto reply = recorder_.on_seal(m, unix_now);
  if (reply) out.messages.push_back({reply->to, std::move(reply->message)});
}

void node_core::handle(const seal_reply& m, node_output& out, time_point now,
                       time_point /*unix_now*/) {
  add(out, recorder_.on_seal_reply(m, now));
}

void node_core::handle(const crash_report& m, node_output& /*out*/,
                       time_point now, time_point /*unix_now*/) {
  server_runs_.merge_crashes(m, now);
}

void node_core::handle(const cancel_request& m, node_output& out,
                       time_point now, time_point /*unix_now*/) {
  add(out, server_runs_.cancel(m.request, now), now);
}

void node_core::handle(const heartbeat& /*m*/, node_output& /*out*/,
                       time_point /*now*/, time_point /*unix_now*/) {}

void node_core::handle(const takeover_done& /*m*/, node_output& /*out*/,
                       time_point /*now*/, time_point /*unix_now*/) {}

}  // namespace figwind
