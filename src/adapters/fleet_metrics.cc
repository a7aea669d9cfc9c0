#include "adapters/fleet_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace figwind {
namespace {

template <class T>
using family = prometheus::Family<T>;

auto seconds_buckets() -> const prometheus::Histogram::BucketBoundaries& {
  static const auto bounds = prometheus::Histogram::BucketBoundaries{
      0.003, 0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12};
  return bounds;
}

auto counters(prometheus::Registry& to, const char* name, const char* help)
    -> family<prometheus::Counter>& {
  return prometheus::BuildCounter().Name(name).Help(help).Register(to);
}

auto histograms(prometheus::Registry& to, const char* name, const char* help)
    -> family<prometheus::Histogram>& {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(to);
}

auto gauge(prometheus::Registry& to, const char* name, const char* help)
    -> prometheus::Gauge& {
  return prometheus::BuildGauge().Name(name).Help(help).Register(to).Add({});
}

}  // namespace

struct fleet_metrics::metric_families {
  prometheus::Registry registry;
  family<prometheus::Counter>& requests =
      counters(registry, "figwind_requests_total",
               "Ended requests of callers by outcome and reason.");
  family<prometheus::Histogram>& request_seconds =
      histograms(registry, "figwind_request_seconds",
                 "Time from a caller's request to its end.");
  family<prometheus::Histogram>& run_seconds =
      histograms(registry, "figwind_run_seconds",
                 "Time of a call at the backend server beside the node.");
  family<prometheus::Counter>& retries =
      counters(registry, "figwind_repeats_total",
               "Sendings of requests after the first one.");
  family<prometheus::Counter>& links =
      counters(registry, "figwind_links_total",
               "Links to other processes that were opened or lost.");
  family<prometheus::Counter>& operations =
      counters(registry, "figwind_operations_total",
               "Operators' changes and reads by status.");
  prometheus::Gauge& current_version =
      gauge(registry, "figwind_config_version", "Configuration in force.");
  prometheus::Gauge& in_flight = gauge(registry, "figwind_in_flight",
                                       "Calls that run on the backend server.");
  prometheus::Gauge& held = gauge(registry, "figwind_held",
                                  "Calls at the server node without a reply.");
  prometheus::Gauge& queued =
      gauge(registry, "figwind_queued", "Calls that wait for a slot.");
  prometheus::Gauge& backend_limit =
      gauge(registry, "figwind_server_limit",
            "Calls a second that the backend server takes; -1 if it names no "
            "limit.");
  prometheus::Gauge& backend_calls =
      gauge(registry, "figwind_server_calls",
            "Calls sent to the backend server since the start.");
  prometheus::Gauge& ready =
      gauge(registry, "figwind_ready", "1 while the node takes new work.");
  prometheus::Gauge& leading =
      gauge(registry, "figwind_leading", "1 while this member leads.");
};

fleet_metrics::fleet_metrics()
    : families_{std::make_unique<metric_families>()} {}

fleet_metrics::~fleet_metrics() = default;

void fleet_metrics::count_request(const std::string& outcome,
                                  const std::string& reason, duration taken) {
  families_->requests.Add({{"outcome", outcome}, {"reason", reason}})
      .Increment();
  families_->request_seconds.Add({{"outcome", outcome}}, seconds_buckets())
      .Observe(taken.ms / 1000);
}

void fleet_metrics::count_backend_call(const std::string& outcome,
                                       duration taken) {
  families_->run_seconds.Add({{"outcome", outcome}}, seconds_buckets())
      .Observe(taken.ms / 1000);
}

void fleet_metrics::count_retry() {
  families_->retries.Add({}).Increment();
}

void fleet_metrics::count_link_event(const std::string& event) {
  families_->links.Add({{"event", event}}).Increment();
}

void fleet_metrics::count_operation(const std::string& kind,
                                    const std::string& status) {
  families_->operations.Add({{"kind", kind}, {"status", status}}).Increment();
}

void fleet_metrics::set_config_version(double version) {
  families_->current_version.Set(version);
}

void fleet_metrics::set_in_flight(double running, double queued, double held) {
  families_->in_flight.Set(running);
  families_->held.Set(held);
  families_->queued.Set(queued);
}

void fleet_metrics::set_backend_rate(std::optional<double> limit,
                                     double calls) {
  families_->backend_limit.Set(limit.value_or(-1));
  families_->backend_calls.Set(calls);
}

void fleet_metrics::set_ready(bool ready) {
  families_->ready.Set(ready ? 1 : 0);
}

void fleet_metrics::set_leading(bool leading) {
  families_->leading.Set(leading ? 1 : 0);
}

auto fleet_metrics::text() const -> std::string {
  return prometheus::TextSerializer{}.Serialize(families_->registry.Collect());
}

}  // namespace figwind
