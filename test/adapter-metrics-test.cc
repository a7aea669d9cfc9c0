#include "adapters/metrics.h"

#include <gmock/gmock.h>

using namespace figwind;
using testing::HasSubstr;
using testing::Not;

namespace {

const auto one_class = workload{
    {{{"stock-lookup"}, {"depozit"}, true, milliseconds(200), {0.99}, 1}}};

auto complete(const std::string& name, const std::string& domain)
    -> call_sample {
  return {{name},        {"depozit"},    {domain}, call_status::complete,
          refusal::none, milliseconds(2)};
}

}  // namespace

// Guards against label sets that grow with names that come from callers.
TEST(metrics, fold_unknown_names_into_other) {
  auto x = metrics{"sprijin", {"ro-centru-a"}};
  x.set_workload(one_class);
  for (auto i = 0; i < 100; ++i) {
    auto n = std::to_string(i);
    x.count_call(complete("made-up-" + n, "domain-" + n));
  }
  x.count_call({{"stock-lookup"},
                {"depozit"},
                {},
                call_status::not_run,
                refusal::overload,
                milliseconds(2)});
  auto text = x.text();
  EXPECT_THAT(text, Not(HasSubstr("made-up")));
  EXPECT_THAT(text, HasSubstr("domain-15"));
  EXPECT_THAT(text, Not(HasSubstr("domain-16")));
  EXPECT_THAT(
      text,
      HasSubstr("figwind_calls_total{class=\"stock-lookup\",outcome=\"not-run\""
                ",reason=\"overload\",server_domain=\"none\",service="
                "\"depozit\"} 1"));
  EXPECT_THAT(text, HasSubstr("server_domain=\"other\""));
}

// Guards against metrics that dashboards expect and the program lacks.
TEST(metrics, expose_every_family) {
  auto x = metrics{"sprijin", {"ro-centru-a"}};
  x.set_workload(one_class);
  x.count_call(complete("stock-lookup", "ro-centru-b"));
  x.observe_queue_wait({"stock-lookup"}, milliseconds(0.25));
  x.count_retries({"stock-lookup"}, 2);
  x.set_in_flight({"depozit"}, 7);
  x.set_limit({"depozit"}, 75);
  x.set_version({41});
  x.set_ready(true);
  x.set_isolated(false);
  x.count_control_bytes(control_direction::sent, 1200);
  x.count_refused_message("oversized");
  auto text = x.text();
  for (const auto* line :
       {"figwind_call_seconds_count{class=\"stock-lookup\"",
        "figwind_queue_wait_seconds_bucket{class=\"stock-lookup\",le=\"0."
        "0003\"",
        "figwind_retries_total{class=\"stock-lookup\"} 2",
        "figwind_in_flight{service=\"depozit\"} 7",
        "figwind_in_flight_limit{service=\"depozit\"} 75",
        "figwind_config_version 41", "figwind_ready 1", "figwind_isolated 0",
        "figwind_control_bytes_total{direction=\"sent\"} 1200",
        "figwind_refused_messages_total{reason=\"oversized\"} 1",
        "figwind_process_info{cluster=\"sprijin\""}) {
    EXPECT_THAT(text, HasSubstr(line));
  }
}
