#include "adapters/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <mutex>
#include <set>

namespace figwind {
namespace {

constexpr auto other = "other";
constexpr auto max_domains = std::size_t{16};
constexpr auto max_reasons = std::size_t{32};

template <class T>
using family = prometheus::Family<T>;

auto call_buckets() -> const prometheus::Histogram::BucketBoundaries& {
  static const auto seconds = prometheus::Histogram::BucketBoundaries{
      0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30, 100};
  return seconds;
}

/// Steps of 0.1 ms around 0.31 ms, the time that a node may add to a call.
auto wait_buckets() -> const prometheus::Histogram::BucketBoundaries& {
  static const auto seconds = prometheus::Histogram::BucketBoundaries{
      0.0001, 0.0002, 0.0003, 0.0004, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3};
  return seconds;
}

/// Names up to a fixed number; all further ones become `other`.
class bounded_names {
 public:
  explicit bounded_names(std::size_t limit) : limit_{limit} {}

  auto fold(const std::string& name) -> std::string {
    if (names_.count(name) != 0) return name;
    if (names_.size() >= limit_) return other;
    names_.insert(name);
    return name;
  }

 private:
  std::size_t limit_;
  std::set<std::string> names_;
};

auto count_family(prometheus::Registry& to, const std::string& name,
                  const std::string& help) -> family<prometheus::Counter>& {
  return prometheus::BuildCounter().Name(name).Help(help).Register(to);
}

auto gauge_family(prometheus::Registry& to, const std::string& name,
                  const std::string& help) -> family<prometheus::Gauge>& {
  return prometheus::BuildGauge().Name(name).Help(help).Register(to);
}

auto time_family(prometheus::Registry& to, const std::string& name,
                 const std::string& help) -> family<prometheus::Histogram>& {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(to);
}

}  // namespace

struct metrics::parts {
  prometheus::Registry registry;
  family<prometheus::Counter>& calls =
      count_family(registry, "figwind_calls_total",
                   "Finished calls by outcome and refusal reason.");
  family<prometheus::Counter>& retries =
      count_family(registry, "figwind_retries_total",
                   "Extra attempts made for requests of a class.");
  family<prometheus::Counter>& control_bytes =
      count_family(registry, "figwind_control_bytes_total",
                   "Bytes of messages between figwind's processes.");
  family<prometheus::Counter>& refused_messages =
      count_family(registry, "figwind_refused_messages_total",
                   "Malformed, oversized or foreign messages.");
  family<prometheus::Histogram>& latency =
      time_family(registry, "figwind_call_seconds",
                  "Time from the arrival of a call to its response.");
  family<prometheus::Histogram>& queue_wait =
      time_family(registry, "figwind_queue_wait_seconds",
                  "Time that a call waited for a slot of its server.");
  family<prometheus::Gauge>& in_flight = gauge_family(
      registry, "figwind_in_flight", "Calls that run on the backend server.");
  family<prometheus::Gauge>& limit =
      gauge_family(registry, "figwind_in_flight_limit",
                   "Highest number of calls in flight at present.");
  family<prometheus::Gauge>& version =
      gauge_family(registry, "figwind_config_version",
                   "Version of the configuration in force.");
  family<prometheus::Gauge>& ready =
      gauge_family(registry, "figwind_ready", "1 when the process is ready.");
  family<prometheus::Gauge>& isolated = gauge_family(
      registry, "figwind_isolated",
      "1 when the process reaches no majority of the control members.");

  mutable std::mutex mutex;
  std::set<std::string> classes;
  std::set<std::string> services;
  bounded_names domains{max_domains};
  bounded_names reasons{max_reasons};

  auto fold_class(const class_name& name) const -> std::string {
    auto lock = std::lock_guard{mutex};
    return classes.count(name.value) != 0 ? name.value : other;
  }

  auto fold_service(const service_name& name) const -> std::string {
    auto lock = std::lock_guard{mutex};
    return services.count(name.value) != 0 ? name.value : other;
  }

  auto fold_domain(const failure_domain& name) -> std::string {
    auto lock = std::lock_guard{mutex};
    return name.value.empty() ? "none" : domains.fold(name.value);
  }
};

metrics::metrics(const std::string& cluster, const failure_domain& domain)
    : parts_{std::make_unique<parts>()} {
  gauge_family(parts_->registry, "figwind_process_info",
               "Cluster and failure domain of the process.")
      .Add({{"cluster", cluster}, {"failure_domain", domain.value}})
      .Set(1);
}

metrics::~metrics() = default;

void metrics::set_workload(const workload& all) {
  auto lock = std::lock_guard{parts_->mutex};
  parts_->classes.clear();
  parts_->services.clear();
  for (const auto& x : all.classes) {
    parts_->classes.insert(x.name.value);
    parts_->services.insert(x.service.value);
  }
}

void metrics::count_call(const call_sample& call) {
  auto name = parts_->fold_class(call.name);
  parts_->calls
      .Add({{"class", name},
            {"service", parts_->fold_service(call.service)},
            {"server_domain", parts_->fold_domain(call.domain)},
            {"outcome", to_string(call.status)},
            {"reason", to_string(call.reason)}})
      .Increment();
  parts_->latency
      .Add({{"class", name}, {"outcome", to_string(call.status)}},
           call_buckets())
      .Observe(call.latency.ms / 1000);
}

void metrics::observe_queue_wait(const class_name& name, duration wait) {
  parts_->queue_wait.Add({{"class", parts_->fold_class(name)}}, wait_buckets())
      .Observe(wait.ms / 1000);
}

void metrics::count_retries(const class_name& name, std::uint64_t count) {
  parts_->retries.Add({{"class", parts_->fold_class(name)}})
      .Increment(static_cast<double>(count));
}

void metrics::set_in_flight(const service_name& service, double count) {
  parts_->in_flight.Add({{"service", parts_->fold_service(service)}})
      .Set(count);
}

void metrics::set_limit(const service_name& service, double count) {
  parts_->limit.Add({{"service", parts_->fold_service(service)}}).Set(count);
}

void metrics::set_version(config_version version) {
  parts_->version.Add({}).Set(static_cast<double>(version.value));
}

void metrics::set_ready(bool ready) {
  parts_->ready.Add({}).Set(ready ? 1 : 0);
}

void metrics::set_isolated(bool isolated) {
  parts_->isolated.Add({}).Set(isolated ? 1 : 0);
}

void metrics::count_control_bytes(control_direction direction,
                                  std::uint64_t bytes) {
  const auto* name = direction == control_direction::sent ? "sent" : "received";
  parts_->control_bytes.Add({{"direction", name}})
      .Increment(static_cast<double>(bytes));
}

void metrics::count_refused_message(const std::string& reason) {
  auto name = [&] {
    auto lock = std::lock_guard{parts_->mutex};
    return parts_->reasons.fold(reason);
  }();
  parts_->refused_messages.Add({{"reason", name}}).Increment();
}

auto metrics::text() const -> std::string {
  return prometheus::TextSerializer{}.Serialize(parts_->registry.Collect());
}

}  // namespace figwind
