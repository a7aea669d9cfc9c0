#include "figwind/workload.h"

#include <algorithm>
#include <map>
#include <optional>

#include "figwind/parse.h"

namespace figwind {
namespace {

constexpr auto section_prefix = "class ";

class class_parser {
 public:
  class_parser(const ini_file& file, const ini_section& section,
               findings& found)
      : file_{file}, section_{section}, found_{found} {}

  auto run() -> call_class {
    auto x = call_class{};
    x.name.value = section_.name.substr(std::string{section_prefix}.size());
    if (const auto* e = take("service")) x.service.value = e->value;
    if (const auto* e = take("idempotent")) {
      assign(x.idempotent, parse_flag(e->value), *e, "must be yes or no");
    }
    if (const auto* e = take("latency")) {
      assign(x.latency_target, parse_duration(e->value), *e,
             "must be a duration with a unit, as in 300 ms");
    }
    if (const auto* e = take("success")) {
      auto share = parse_number(e->value);
      if (share && (*share <= 0 || *share >= 1)) share.reset();
      assign(x.success_target.value, share, *e,
             "must be a share above 0 and below 1");
    }
    if (const auto* e = take("importance")) {
      auto rank = parse_number(e->value);
      if (rank && (*rank < 1 || *rank > 1000)) rank.reset();
      assign(x.importance, rank, *e, "must be a number from 1 to 1000");
    }
    report_unknown_keys();
    return x;
  }

 private:
  auto take(const std::string& key) -> const ini_entry* {
    known_.push_back(key);
    const ini_entry* found = nullptr;
    for (const auto& e : section_.entries) {
      if (e.key != key) continue;
      if (found != nullptr) report(e.line, key, "is given twice");
      found = &e;
    }
    if (found == nullptr) report(0, key, "is missing");
    return found;
  }

  template <class To, class From>
  void assign(To& to, const std::optional<From>& from, const ini_entry& e,
              const std::string& rule) {
    if (from) {
      to = static_cast<To>(*from);
    } else {
      report(e.line, e.key, rule + ", not \"" + e.value + "\"");
    }
  }

  void report_unknown_keys() {
    for (const auto& e : section_.entries) {
      if (std::find(known_.begin(), known_.end(), e.key) == known_.end()) {
        report(e.line, e.key, "is not a known key");
      }
    }
  }

  void report(std::size_t line, const std::string& key,
              const std::string& message) {
    found_.push_back({{file_.name, line, section_.name, key}, message});
  }

  const ini_file& file_;
  const ini_section& section_;
  findings& found_;
  std::vector<std::string> known_;
};

}  // namespace

auto find_class(const workload& all, const class_name& name)
    -> const call_class* {
  auto found =
      std::find_if(all.classes.begin(), all.classes.end(),
                   [&](const call_class& c) { return c.name == name; });
  return found == all.classes.end() ? nullptr : &*found;
}

auto parse_workload(const ini_file& file) -> result<workload> {
  auto found = findings{};
  auto all = workload{};
  for (const auto& section : file.sections) {
    if (section.name.rfind(section_prefix, 0) != 0) {
      found.push_back(
          {{file.name, 0, section.name, ""}, "is not a known section"});
      continue;
    }
    all.classes.push_back(class_parser{file, section, found}.run());
  }
  if (!found.empty()) return found;
  return all;
}

}  // namespace figwind
