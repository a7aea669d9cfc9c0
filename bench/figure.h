// One JSON line for each measured figure.

#pragma once

#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace figwind::bench {

/// Which side of the target is good.
enum class goal { at_most, at_least };

/// A figure beside its baseline, if there is one, and its stated target.
struct figure {
  std::string name;
  std::string unit;
  double value = 0;
  std::optional<double> baseline;
  std::optional<double> target;
  goal side = goal::at_most;
};

/// Prints `x` as one line of JSON.
inline void print(const figure& x) {
  auto line = nlohmann::ordered_json{};
  line["name"] = x.name;
  line["unit"] = x.unit;
  line["figwind"] = x.value;
  line["baseline"] = nullptr;
  line["ratio"] = nullptr;
  line["target"] = nullptr;
  line["met"] = nullptr;
  if (x.baseline) {
    line["baseline"] = *x.baseline;
    if (*x.baseline != 0) line["ratio"] = x.value / *x.baseline;
  }
  if (x.target) {
    line["target"] = *x.target;
    line["met"] =
        x.side == goal::at_most ? x.value <= *x.target : x.value >= *x.target;
  }
  std::cout << line.dump() << std::endl;
}

}  // namespace figwind::bench
