#include "figwind/config_store.h"

#include <algorithm>
#include <utility>

#include "figwind/bytes.h"
#include "figwind/ini.h"

namespace figwind {
namespace {

constexpr std::uint8_t format_version = 1;
constexpr std::uint8_t config_kind = 1;
constexpr std::uint8_t record_kind = 2;
constexpr auto workload_file_name = "workload";

// Memory of an answer without its strings.
constexpr std::size_t answer_base_bytes = 96;

void put(byte_writer& to, const request_id& id) {
  to.put_u64(id.high);
  to.put_u64(id.low);
}

auto get_request_id(byte_reader& from) -> request_id {
  auto high = from.get_u64();
  auto low = from.get_u64();
  return {high, low};
}

void put(byte_writer& to, const findings& all) {
  to.put_u32(static_cast<std::uint32_t>(all.size()));
  for (const auto& x : all) {
    to.put_string(x.location.file);
    to.put_u64(x.location.line);
    to.put_string(x.location.section);
    to.put_string(x.location.key);
    to.put_string(x.message);
  }
}

auto get_findings(byte_reader& from) -> findings {
  auto all = findings{};
  auto count = from.get_u32();
  for (auto i = 0U; i < count && from.good(); ++i) {
    auto x = finding{};
    x.location.file = from.get_string();
    x.location.line = from.get_u64();
    x.location.section = from.get_string();
    x.location.key = from.get_string();
    x.message = from.get_string();
    all.push_back(std::move(x));
  }
  return all;
}

void put(byte_writer& to, const change_answer& x) {
  to.put_u8(static_cast<std::uint8_t>(x.status));
  to.put_u64(x.version);
  to.put_string(x.author);
  put(to, x.problems);
}

auto get_answer(byte_reader& from) -> change_answer {
  auto x = change_answer{};
  x.status = static_cast<change_status>(from.get_u8());
  x.version = from.get_u64();
  x.author = from.get_string();
  x.problems = get_findings(from);
  return x;
}

auto size_of(const change_answer& x) -> std::size_t {
  auto size = answer_base_bytes + x.author.size();
  for (const auto& p : x.problems) {
    size += answer_base_bytes + p.message.size() + p.location.section.size() +
            p.location.key.size();
  }
  return size;
}

auto read_workload(const std::string& text) -> result<workload> {
  auto file = parse_ini(workload_file_name, text);
  if (!ok(file)) return errors(file);
  return parse_workload(value(file));
}

}  // namespace

/// Decoded bytes of an entry.
struct config_store::decoded_change {
  std::uint8_t kind = 0;
  request_id id;
  std::uint64_t base = 0;
  std::string author;
  std::string name;
  std::string text;
  time_point time;
  findings problems;
};

auto to_string(change_status x) -> std::string {
  switch (x) {
    case change_status::accepted:
      return "accepted";
    case change_status::conflict:
      return "conflict";
    case change_status::invalid:
      break;
  }
  return "invalid";
}

auto encode_change(const config_change& change) -> std::string {
  auto to = byte_writer{};
  to.put_u8(format_version);
  to.put_u8(config_kind);
  put(to, change.id);
  to.put_u64(change.base_version.value);
  to.put_string(change.author);
  to.put_string(change.text);
  to.put_double(change.time.ms);
  put(to, errors(read_workload(change.text)));
  return to.take();
}

auto encode_change(const record_change& change) -> std::string {
  auto to = byte_writer{};
  to.put_u8(format_version);
  to.put_u8(record_kind);
  put(to, change.id);
  to.put_u64(change.base_version);
  to.put_string(change.name);
  to.put_string(change.bytes);
  return to.take();
}

auto config_store::apply(const std::string& bytes) -> result<applied_change> {
  auto from = byte_reader{bytes};
  auto version = from.get_u8();
  auto change = decoded_change{};
  change.kind = from.get_u8();
  change.id = get_request_id(from);
  change.base = from.get_u64();
  if (change.kind == config_kind) {
    change.author = from.get_string();
    change.text = from.get_string();
    change.time = time_point{from.get_double()};
    change.problems = get_findings(from);
  } else {
    change.name = from.get_string();
    change.text = from.get_string();
  }
  auto known_kind = change.kind == config_kind || change.kind == record_kind;
  if (version != format_version || !known_kind || !from.complete()) {
    return findings{{{}, "the change has an unknown format"}};
  }
  const auto* earlier_answer = find_answer(change.id);
  if (earlier_answer != nullptr)
    return applied_change{change.id, change.name, *earlier_answer, true};
  auto answer = decide(change);
  store_answer(change.id, answer);
  return applied_change{change.id, change.name, std::move(answer), false};
}

auto config_store::decide(const decoded_change& change) -> change_answer {
  return change.kind == config_kind ? decide_config(change)
                                    : decide_record(change);
}

auto config_store::decide_config(const decoded_change& change)
    -> change_answer {
  auto current_version = current_.version.value;
  if (change.base != current_version) {
    return {change_status::conflict, current_version, current_.author, {}};
  }
  if (!change.problems.empty()) {
    return {change_status::invalid, current_version, {}, change.problems};
  }
  set_current(
      {{current_version + 1}, change.author, change.time, change.text, {}});
  return {change_status::accepted, current_version + 1, {}, {}};
}

auto config_store::decide_record(const decoded_change& change)
    -> change_answer {
  const auto* found = find_record(change.name);
  auto record_version = found != nullptr ? found->version : 0;
  if (change.base != record_version)
    return {change_status::conflict, record_version, {}, {}};
  records_[change.name] = {record_version + 1, change.text,
                           ++record_change_count_};
  return {change_status::accepted, record_version + 1, {}, {}};
}

void config_store::set_current(accepted_config next) {
  auto parsed = next.version.value == 0 ? result<workload>{workload{}}
                                        : read_workload(next.text);
  parse_problems_ = errors(parsed);
  next.parsed = ok(parsed) ? value(parsed) : current_.parsed;
  current_ = std::move(next);
}

void config_store::store_answer(const request_id& id, change_answer answer) {
  answer_bytes_ += size_of(answer);
  answers_[id] = std::move(answer);
  answer_order_.push_back(id);
  while (answer_order_.size() > limits_.max_count ||
         (answer_bytes_ > limits_.max_bytes && answer_order_.size() > 1)) {
    auto oldest = answers_.find(answer_order_.front());
    answer_bytes_ -= size_of(oldest->second);
    answers_.erase(oldest);
    answer_order_.pop_front();
  }
}

auto config_store::find_answer(const request_id& id) const
    -> const change_answer* {
  auto found = answers_.find(id);
  return found == answers_.end() ? nullptr : &found->second;
}

auto config_store::find_record(const std::string& name) const
    -> const stored_record* {
  auto found = records_.find(name);
  return found == records_.end() ? nullptr : &found->second;
}

auto config_store::snapshot() const -> std::string {
  auto to = byte_writer{};
  to.put_u8(format_version);
  to.put_u64(current_.version.value);
  to.put_string(current_.author);
  to.put_double(current_.time.ms);
  to.put_string(current_.text);
  to.put_u32(static_cast<std::uint32_t>(records_.size()));
  for (const auto& [name, record] : records_) {
    to.put_string(name);
    to.put_u64(record.version);
    to.put_string(record.bytes);
    to.put_u64(record.sequence);
  }
  to.put_u32(static_cast<std::uint32_t>(answer_order_.size()));
  for (const auto& id : answer_order_) {
    put(to, id);
    put(to, answers_.at(id));
  }
  return to.take();
}

auto config_store::restore(const std::string& bytes) -> findings {
  auto next = config_store{limits_};
  auto from = byte_reader{bytes};
  auto known_format = bytes.empty() || from.get_u8() == format_version;
  if (!bytes.empty() && known_format) {
    auto config = accepted_config{};
    config.version.value = from.get_u64();
    config.author = from.get_string();
    config.time.ms = from.get_double();
    config.text = from.get_string();
    next.set_current(std::move(config));
    auto records = from.get_u32();
    for (auto i = 0U; i < records && from.good(); ++i) {
      auto name = from.get_string();
      auto version = from.get_u64();
      auto record_bytes = from.get_string();
      auto sequence = from.get_u64();
      next.record_change_count_ = std::max(next.record_change_count_, sequence);
      next.records_[name] = {version, std::move(record_bytes), sequence};
    }
    auto answers = from.get_u32();
    for (auto i = 0U; i < answers && from.good(); ++i) {
      auto id = get_request_id(from);
      next.store_answer(id, get_answer(from));
    }
  }
  if (!known_format || !from.complete()) {
    return {{{}, "the snapshot has an unknown format"}};
  }
  *this = std::move(next);
  return {};
}

}  // namespace figwind
