#include "figwind/route_calls.h"

#include <gtest/gtest.h>

#include "section.h"

using namespace figwind;
using figwind::test::section;

namespace {

const auto service = service_name{"contracte"};

auto sample_route(retry_rule retry) -> route {
  auto out = route{};
  out.name = {"loans"};
  out.retry = retry;
  out.timeout = milliseconds(800);
  out.target_latency = milliseconds(400);
  out.max_attempts = 2;
  out.services = {{service, 1}};
  return out;
}

auto sample_servers(int count) -> std::vector<server> {
  auto all = std::vector<server>{};
  for (auto i = 1; i <= count; ++i) {
    auto x = server{};
    x.call_address = {"10.0.0." + std::to_string(i) + ":7000"};
    x.id = {x.call_address, {1}};
    x.domain = {"a"};
    x.slots = 10;
    all.push_back(x);
  }
  return all;
}

auto sample_calls(int servers) -> route_calls {
  auto options = route_call_options{};
  options.domain = {"a"};
  auto out = route_calls{options, random_source{1}};
  const auto all = sample_servers(servers);
  for (const auto& x : all) out.set_server_name(x.id, {x.call_address.value});
  out.set_servers(service, all);
  return out;
}

auto answer(std::uint64_t call, call_end end, refusal reason = refusal::none)
    -> call_reply {
  auto out = call_reply{};
  out.call = call;
  out.end = end;
  out.reason = reason;
  out.status = 200;
  return out;
}

auto start_call(route_calls& calls, retry_rule retry, time_point now = {0})
    -> send_action {
  auto steps = calls.start(sample_route(retry), {{}, seconds(5)}, now);
  EXPECT_TRUE(steps.send.has_value());
  return *steps.send;
}

}  // namespace

// Guards against loans that run twice: after a lost link, the request may or
// may not have run.
TEST(route_calls, retries_a_request_that_may_have_run_only_if_idempotent) {
  section("at most once: the request fails", [] {
    auto calls = sample_calls(2);
    const auto sent = start_call(calls, retry_rule::at_most_once);
    const auto steps = calls.on_link_lost(sent.call, true, {10});
    EXPECT_FALSE(steps.send);
    ASSERT_TRUE(steps.end);
    EXPECT_EQ(steps.end->outcome, route_outcome::failed);
  });
  section("idempotent: retried at another server and marked as a retry", [] {
    auto calls = sample_calls(2);
    const auto sent = start_call(calls, retry_rule::idempotent);
    const auto steps = calls.on_link_lost(sent.call, true, {10});
    ASSERT_TRUE(steps.send);
    EXPECT_NE(steps.send->node, sent.node);
    EXPECT_EQ(steps.send->chain.retry_probability, 1);
  });
  section("at most once, no byte sent: retried at another server", [] {
    auto calls = sample_calls(2);
    const auto sent = start_call(calls, retry_rule::at_most_once);
    const auto steps = calls.on_link_lost(sent.call, false, {10});
    ASSERT_TRUE(steps.send);
    EXPECT_NE(steps.send->node, sent.node);
  });
}

// Guards against callers that wait for their whole deadline for a lost answer,
// and against answers that are given up during a planned stop.
TEST(route_calls, decides_whether_to_wait_for_a_silent_server) {
  section("the request is taken back and sent to another server", [] {
    auto calls = sample_calls(2);
    const auto sent = start_call(calls, retry_rule::idempotent);
    const auto steps = calls.on_server_silent(sent.call, {100});
    ASSERT_EQ(steps.cancel.size(), 1U);
    EXPECT_EQ(steps.cancel.front().node, sent.node);
    ASSERT_TRUE(steps.send);
    EXPECT_NE(steps.send->node, sent.node);
  });
  section("without another attempt it fails at once", [] {
    auto calls = sample_calls(1);
    const auto sent = start_call(calls, retry_rule::idempotent);
    const auto steps = calls.on_server_silent(sent.call, {100});
    ASSERT_TRUE(steps.end);
    EXPECT_EQ(steps.end->outcome, route_outcome::failed);
    EXPECT_EQ(steps.cancel.size(), 1U);
  });
  section("during a planned stop its answer is waited for", [] {
    auto calls = sample_calls(2);
    const auto sent = start_call(calls, retry_rule::idempotent);
    calls.wait_for_silent_servers();
    const auto steps = calls.on_server_silent(sent.call, {100});
    EXPECT_TRUE(steps.cancel.empty());
    EXPECT_FALSE(steps.send);
    EXPECT_FALSE(steps.end);
    const auto later =
        calls.on_answer(answer(sent.call, call_end::answered), {200});
    ASSERT_TRUE(later.end);
    EXPECT_EQ(later.end->outcome, route_outcome::answered);
  });
  section("a request that has ended is ignored", [] {
    auto calls = sample_calls(2);
    const auto sent = start_call(calls, retry_rule::idempotent);
    calls.on_answer(answer(sent.call, call_end::answered), {50});
    const auto steps = calls.on_server_silent(sent.call, {100});
    EXPECT_TRUE(steps.cancel.empty());
    EXPECT_FALSE(steps.send || steps.end);
  });
}

// Guards against a false "not run": once a server may have run a request, a
// later refusal by another server does not prove that it has not run.
TEST(route_calls, reports_not_run_only_if_nothing_ran) {
  section("all servers refuse", [] {
    auto calls = sample_calls(2);
    const auto sent = start_call(calls, retry_rule::at_most_once);
    auto steps = calls.on_answer(
        answer(sent.call, call_end::not_run, refusal::overload), {1});
    ASSERT_TRUE(steps.send);
    steps = calls.on_answer(
        answer(sent.call, call_end::not_run, refusal::overload), {2});
    ASSERT_TRUE(steps.end);
    EXPECT_EQ(steps.end->outcome, route_outcome::not_run);
    EXPECT_GT(steps.end->retry_after.ms, 0);
  });
  section("the only server refuses some requests: it is tried again", [] {
    auto calls = sample_calls(1);
    const auto sent = start_call(calls, retry_rule::at_most_once);
    auto refused = answer(sent.call, call_end::not_run, refusal::overload);
    refused.refused_by_server = true;
    const auto steps = calls.on_answer(refused, {1});
    ASSERT_TRUE(steps.send);
    EXPECT_EQ(steps.send->node, sent.node);
  });
  section("one connection breaks, then the other server refuses", [] {
    auto calls = sample_calls(2);
    const auto sent = start_call(calls, retry_rule::idempotent);
    auto steps = calls.on_answer(answer(sent.call, call_end::broken), {1});
    ASSERT_TRUE(steps.send);
    steps = calls.on_answer(
        answer(sent.call, call_end::not_run, refusal::overload), {2});
    ASSERT_TRUE(steps.end);
    EXPECT_EQ(steps.end->outcome, route_outcome::failed);
  });
  section("there is no server", [] {
    auto calls = sample_calls(0);
    const auto steps = calls.start(sample_route(retry_rule::idempotent),
                                   {{}, seconds(5)}, {0});
    EXPECT_FALSE(steps.send);
    const auto later = calls.on_tick({50});
    ASSERT_EQ(later.size(), 1U);
    ASSERT_TRUE(later.front().end);
    EXPECT_EQ(later.front().end->outcome, route_outcome::not_run);
    EXPECT_EQ(later.front().end->reason, refusal::no_server);
  });
}

// Guards against callers that wait longer than the route's timeout.
TEST(route_calls, ends_at_the_timeout_of_the_route) {
  auto calls = sample_calls(1);
  const auto sent = start_call(calls, retry_rule::idempotent);
  EXPECT_EQ(sent.time_left, milliseconds(800));
  EXPECT_TRUE(calls.on_tick({799}).empty());
  const auto steps = calls.on_tick({800});
  ASSERT_EQ(steps.size(), 1U);
  EXPECT_EQ(steps[0].end->outcome, route_outcome::timed_out);
  ASSERT_EQ(steps[0].cancel.size(), 1U);
  EXPECT_EQ(steps[0].cancel[0].node, sent.node);
  EXPECT_EQ(calls.active_calls(), 0U);
}

// Guards against work for callers that have disconnected.
TEST(route_calls, cancels_when_the_caller_disconnects) {
  auto calls = sample_calls(1);
  const auto sent = start_call(calls, retry_rule::idempotent);
  const auto steps = calls.on_caller_gone(sent.call, {5});
  ASSERT_EQ(steps.cancel.size(), 1U);
  EXPECT_EQ(steps.cancel[0].call, sent.call);
  EXPECT_FALSE(calls.on_answer(answer(sent.call, call_end::answered), {6}).end);
}

// Guards against refusals while a node does not have the servers of a service
// yet: after its start, or between two releases.
TEST(route_calls, waits_briefly_for_the_first_server_of_a_service) {
  section("a server appears: the request is sent to it", [] {
    auto calls = sample_calls(0);
    const auto steps = calls.start(sample_route(retry_rule::at_most_once),
                                   {{}, seconds(5)}, {0});
    EXPECT_NE(steps.call, 0U);
    EXPECT_FALSE(steps.send || steps.end);
    EXPECT_TRUE(calls.on_tick({20}).empty());
    calls.set_servers(service, sample_servers(1));
    const auto later = calls.on_tick({30});
    ASSERT_EQ(later.size(), 1U);
    EXPECT_EQ(later.front().call, steps.call);
    EXPECT_TRUE(later.front().send);
  });
  section("no server within an eighth of the target latency: refused", [] {
    auto calls = sample_calls(0);
    calls.start(sample_route(retry_rule::at_most_once), {{}, seconds(5)}, {0});
    EXPECT_TRUE(calls.on_tick({49}).empty());
    const auto later = calls.on_tick({50});
    ASSERT_EQ(later.size(), 1U);
    ASSERT_TRUE(later.front().end);
    EXPECT_EQ(later.front().end->outcome, route_outcome::not_run);
    EXPECT_EQ(calls.active_calls(), 0U);
  });
  section("the caller disconnects meanwhile: nothing is sent", [] {
    auto calls = sample_calls(0);
    const auto steps = calls.start(sample_route(retry_rule::at_most_once),
                                   {{}, seconds(5)}, {0});
    calls.on_caller_gone(steps.call, {10});
    calls.set_servers(service, sample_servers(1));
    EXPECT_TRUE(calls.on_tick({20}).empty());
  });
}

// Guards against work for requests that fail three services downstream: the
// threshold of a downstream service is applied before the first call.
TEST(route_calls, applies_thresholds_of_downstream_services_at_the_entry) {
  auto calls = sample_calls(1);
  const auto important = route_request{{{1, 1}, 0, 0, 0}, seconds(5)};
  const auto other = route_request{{{2, 2}, 2, 0, 0}, seconds(5)};
  const auto to = sample_route(retry_rule::idempotent);
  const auto first = calls.start(to, other, {0});
  auto reply = answer(first.call, call_end::answered);
  reply.thresholds = {{{"beneficiari"}, {"10.0.9.1:7000"}, {2U << 16U}}};
  calls.on_answer(reply, {1});
  section("less important requests are refused and retried in time", [&] {
    const auto steps = calls.start(to, other, {10});
    ASSERT_TRUE(steps.end);
    EXPECT_EQ(steps.end->outcome, route_outcome::not_run);
    EXPECT_EQ(steps.end->reason, refusal::overload);
    EXPECT_GE(steps.end->retry_after, to.target_latency * 0.25);
    EXPECT_LE(steps.end->retry_after, to.target_latency * 0.6);
  });
  section("important requests are sent",
          [&] { EXPECT_TRUE(calls.start(to, important, {10}).send); });
  section("calls of running requests are sent", [&] {
    auto deep = other;
    deep.chain.depth = 1;
    EXPECT_TRUE(calls.start(to, deep, {10}).send);
  });
  section("the threshold expires",
          [&] { EXPECT_TRUE(calls.start(to, other, {1100}).send); });
}

// Guards against lookups that fail because one server fails some of its calls
// while its status check succeeds.
TEST(route_calls, retries_failures_of_the_server_itself) {
  struct row {
    std::string name;
    retry_rule rule;
    bool own_failure;
    bool is_retried;
  };
  for (const auto& x :
       {row{"failure of the server itself", retry_rule::idempotent, true, true},
        row{"a call of the run failed", retry_rule::idempotent, false, false},
        row{"at most once", retry_rule::at_most_once, true, false}}) {
    section(x.name, [&] {
      auto calls = sample_calls(2);
      const auto sent = start_call(calls, x.rule);
      auto failed = answer(sent.call, call_end::answered);
      failed.status = 500;
      failed.server_failed = x.own_failure;
      const auto steps = calls.on_answer(failed, {10});
      EXPECT_EQ(steps.send.has_value(), x.is_retried);
      EXPECT_EQ(steps.end.has_value(), !x.is_retried);
      if (steps.send) {
        EXPECT_NE(steps.send->node, sent.node);
      }
    });
  }
}

// Guards against loans that run in vain and may not be sent again, in a
// partitioned failure domain that has no server of a downstream service.
TEST(route_calls, refuse_requests_whose_chains_find_no_server) {
  auto calls = sample_calls(2);
  const auto send = [&](time_point now) {
    return calls.start(sample_route(retry_rule::at_most_once), {{}, seconds(5)},
                       now);
  };
  for (auto i = 0; i < 3; ++i) {
    auto failed = answer(send({i * 50.0}).call, call_end::answered);
    failed.status = 500;
    failed.no_server_found = true;
    calls.on_answer(failed, {i * 50.0 + 20});
  }
  const auto refused = send({400});
  ASSERT_TRUE(refused.end);
  EXPECT_EQ(refused.end->outcome, route_outcome::not_run);
  EXPECT_EQ(refused.end->reason, refusal::no_server);
  section("the retry delay is as long as the outage, within the target latency",
          [&] {
            EXPECT_EQ(refused.end->outage, milliseconds(380));
            EXPECT_GE(refused.end->retry_after, milliseconds(200));
            EXPECT_LE(refused.end->retry_after, milliseconds(340));
          });
  section("calls of running requests are sent", [&] {
    auto request = route_request{{}, seconds(5)};
    request.chain.depth = 1;
    const auto inner =
        calls.start(sample_route(retry_rule::idempotent), request, {401});
    EXPECT_TRUE(inner.send);
  });
  section("all requests are sent once servers are reachable again", [&] {
    calls.on_servers_reachable({401});
    EXPECT_TRUE(send({402}).send);
  });
}

// Guards against a node that forgets in a restart what its server takes, while
// the nodes that were told send it calls.
TEST(route_calls, tells_the_server_node_what_its_server_stated) {
  auto calls = sample_calls(1);
  auto stated = server_notice{};
  stated.is_known = true;
  stated.born_ms = 1;
  stated.is_limited = true;
  stated.max_rate = 15;
  const auto send = [&](double now) {
    return start_call(calls, retry_rule::idempotent, {now});
  };
  auto told = answer(send(0).call, call_end::answered);
  told.notice = stated;
  calls.on_answer(told, {1});
  EXPECT_EQ(send(2).notice, stated);
  section("also after its node could not be reached", [&] {
    calls.set_servers(service, {});
    calls.set_servers(service, sample_servers(1));
    EXPECT_EQ(send(3).notice, stated);
  });
  section("a refusal by the server node changes nothing", [&] {
    calls.on_answer(answer(send(4).call, call_end::not_run, refusal::draining),
                    {5});
    calls.set_servers(service, {});
    calls.set_servers(service, sample_servers(1));
    EXPECT_EQ(send(6).notice, stated);
  });
  section("until the server states no limit", [&] {
    told = answer(send(7).call, call_end::answered);
    told.notice.is_known = true;
    told.notice.born_ms = 1;
    calls.on_answer(told, {8});
    EXPECT_FALSE(send(9).notice.is_known);
  });
}

// Guards against requests to a server that has told this node that it leaves,
// after its node has restarted, or when a list that is older, or newer than a
// cut, names it again.
TEST(route_calls, sends_nothing_to_a_server_that_said_it_leaves) {
  struct example {
    std::string name;
    std::uint64_t start;
    std::string next_name;
    std::uint64_t next_start;
  };
  for (const auto& x :
       {example{"with a start time", 5, "s1", 6},
        example{"without one, known by its name", 0, "s2", 0}}) {
    section(x.name, [&] {
      auto calls = sample_calls(2);
      auto servers = sample_servers(2);
      servers[0].id.start = {x.start};
      calls.set_server_name(servers[0].id, {"s1"});
      calls.set_servers(service, servers);
      const auto leaving = servers[0].call_address;
      const auto send = [&](double now) {
        return start_call(calls, retry_rule::idempotent, {now});
      };
      auto sent = send(0);
      for (auto i = 1; sent.node != leaving; ++i) sent = send(i);
      auto told = answer(sent.call, call_end::answered);
      told.notice.is_known = true;
      told.notice.server = {"s1"};
      told.notice.born_ms = static_cast<std::int64_t>(x.start);
      told.notice.is_leaving = true;
      calls.on_answer(told, {100});
      const auto expect_other = [&] {
        for (auto i = 0; i < 30; ++i) EXPECT_NE(send(200 + i).node, leaving);
      };
      expect_other();
      section("the same list again", [&] {
        calls.set_servers(service, servers);
        expect_other();
      });
      section("a list without it, then one with it", [&] {
        calls.set_servers(service, {servers[1]});
        calls.set_servers(service, servers);
        expect_other();
      });
      section("the next server at its address is used", [&] {
        servers[0].id.start = {x.next_start};
        calls.set_server_name(servers[0].id, {x.next_name});
        calls.set_servers(service, {servers[0]});
        EXPECT_EQ(send(300).node, leaving);
      });
    });
  }
}
