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
    parse_class_name(x);
    if (const auto* e = find_required("service")) {
      auto name = parse_name(e->value);
      if (!name) refuse(*e, "must be a name of letters, digits, - and _");
      x.service.value = name.value_or("");
    }
    if (const auto* e = find_required("idempotent")) {
      auto flag = parse_yes_no(e->value);
      if (!flag) refuse(*e, "must be yes or no");
      x.idempotent = flag.value_or(false);
    }
    if (const auto* e = find_required("latency")) parse_latency(*e, x);
    if (const auto* e = find_required("success")) parse_success(*e, x);
    if (const auto* e = find_required("importance")) {
      auto rank = parse_unsigned(e->value);
      if (!rank || *rank < 1 || *rank > max_importance) {
        refuse(*e, "must be a whole number from 1 to 10000");
        rank = 0;
      }
      x.importance = static_cast<int>(*rank);
    }
    report_unknown_keys();
    return x;
  }

 private:
  void parse_class_name(call_class& x) {
    auto text = section_.name.substr(std::string{section_prefix}.size());
    text.erase(0, text.find_first_not_of(' '));
    if (!parse_name(text)) {
      report(section_.line, "",
             "the class name must consist of letters, digits, - and _");
    }
    x.name.value = text;
  }

  void parse_latency(const ini_entry& e, call_class& x) {
    auto target = parse_duration(e.value);
    if (!target) {
      refuse(e, "must be a duration with a unit, as in 300 ms");
    } else if (*target < min_latency_target) {
      refuse(e,
             "cannot be met, at least 1.62 ms are needed: 1 ms from the "
             "caller and 0.31 ms in each of two nodes");
    } else if (*target > max_latency_target) {
      refuse(e, "must be at most 10 min, the time for which keys are kept");
    } else {
      x.latency_target = *target;
    }
  }

  void parse_success(const ini_entry& e, call_class& x) {
    auto share = parse_number(e.value);
    if (!share || *share <= 0 || *share > 1) {
      refuse(e, "must be a share above 0 and below 1");
    } else if (*share == 1) {
      refuse(e, "cannot be met, a share of 1 allows no failure at all");
    } else {
      x.success_target.value = *share;
    }
  }

  auto find_required(const std::string& key) -> const ini_entry* {
    known_.push_back(key);
    auto found = std::find_if(section_.entries.begin(), section_.entries.end(),
                              [&](const ini_entry& e) { return e.key == key; });
    if (found != section_.entries.end()) return &*found;
    report(section_.line, key, "is missing");
    return nullptr;
  }

  void refuse(const ini_entry& e, const std::string& rule) {
    report(e.line, e.key, rule + ", not \"" + e.value + "\"");
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

auto line_of(const ini_section& section, const std::string& key)
    -> std::size_t {
  for (const auto& e : section.entries) {
    if (e.key == key) return e.line;
  }
  return section.line;
}

// Reports classes whose name or importance an earlier class already has;
// `sections[i]` declares class `i`.
void compare_classes(const ini_file& file, const workload& all,
                     const std::vector<const ini_section*>& sections,
                     findings& found) {
  auto names = std::map<class_name, std::size_t>{};
  auto ranks = std::map<int, std::size_t>{};
  for (std::size_t i = 0; i < all.classes.size(); ++i) {
    const auto& x = all.classes[i];
    const auto& section = *sections[i];
    auto [same_name, new_name] = names.emplace(x.name, i);
    if (!new_name && sections[same_name->second]->name != section.name) {
      found.push_back({{file.name, section.line, section.name, ""},
                       "the class \"" + x.name.value +
                           "\" is declared twice, first on line " +
                           std::to_string(sections[same_name->second]->line)});
    }
    if (x.importance == 0 || !new_name) continue;
    auto [same_rank, new_rank] = ranks.emplace(x.importance, i);
    if (!new_rank) {
      const auto& other = all.classes[same_rank->second].name.value;
      found.push_back({{file.name, line_of(section, "importance"), section.name,
                        "importance"},
                       "is also the importance of class \"" + other +
                           "\", so their order is ambiguous"});
    }
  }
}

}  // namespace

auto find_class(const workload& all, const class_name& name)
    -> const call_class* {
  auto found =
      std::find_if(all.classes.begin(), all.classes.end(),
                   [&](const call_class& c) { return c.name == name; });
  return found == all.classes.end() ? nullptr : &*found;
}

auto parse_workload(const ini_file& file) -> result<workload> {
  auto found = file.syntax_errors;
  auto all = workload{};
  auto sections = std::vector<const ini_section*>{};
  for (const auto& section : file.sections) {
    if (section.name.rfind(section_prefix, 0) != 0) {
      found.push_back({{file.name, section.line, section.name, ""},
                       "is not a known section"});
      continue;
    }
    sections.push_back(&section);
    all.classes.push_back(class_parser{file, section, found}.run());
  }
  if (all.classes.empty()) {
    found.push_back({{file.name, 0, "", ""}, "declares no class"});
  }
  compare_classes(file, all, sections, found);
  if (found.empty()) return all;
  sort_by_line(found);
  return found;
}

auto parse_workload(const std::string& name, const std::string& text)
    -> result<workload> {
  return parse_workload(read_ini(name, text));
}

}  // namespace figwind
