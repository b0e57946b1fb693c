from random import Random

import anyio
from apricotlift.forwarding.entities import Server
from apricotlift.forwarding.tests.lateorders_fakes import LateCluster
from apricotlift.forwarding.weightorders import (
    DueOrder,
    choose_orders,
    count_limits,
    record_order,
)
from behave import given, then, when


@given(
    "{n:d} engines that carry out orders {shortest_s:g} to {longest_s:g} seconds late, "
    "in {n_runs:d} runs"
)
def step_engines(context, n, shortest_s, longest_s, n_runs):
    context.clusters = [
        LateCluster(Random(seed), n, (shortest_s, longest_s)) for seed in range(n_runs)
    ]


@given("the entries of the engines show no order count")
def step_no_listed_counts(context):
    for cluster in context.clusters:
        cluster.are_counts_listed = False


@given("orders don't reach the first {n:d} engines")
def step_unreachable(context, n):
    for cluster in context.clusters:
        cluster.n_unreachable = n


@given("{n:d} of the engines have accepted an order that their entries don't show")
def step_unlisted(context, n):
    for cluster in context.clusters:
        for engine in list(cluster.engines.values())[:n]:
            engine.n_unlisted = 1


@then("at most {n:d} reports were read")
def step_n_reports(context, n):
    assert all(cluster.n_reports <= n for cluster in context.clusters)


@when("version {version:d} is named")
def step_name(context, version):
    for cluster in context.clusters:
        cluster.name_version(version)


@when("versions 2, 3 and 4 are named {gap_s:g} seconds apart")
def step_name_in_succession(context, gap_s):
    for cluster in context.clusters:
        for version in (2, 3):
            cluster.name_version(version)
            anyio.run(cluster.run, gap_s)
        cluster.name_version(4)


@then(
    "{seconds:g} seconds after the last naming all engines have version {version:d} in "
    "each run"
)
@then(
    "{seconds:g} seconds after the last naming the other engines have version "
    "{version:d}"
)
def step_newest(context, seconds, version):
    outdated = {}
    for seed, cluster in enumerate(context.clusters):
        anyio.run(cluster.run, seconds)
        versions = [
            engine.versions[-1]
            for name, engine in cluster.engines.items()
            if name not in cluster.unreachable
        ]
        if set(versions) != {version}:
            outdated[seed] = versions
    assert not outdated, outdated


@then("no engine has gone back to an older version in any run")
def step_never_back(context):
    histories = {
        (seed, name): engine.versions
        for seed, cluster in enumerate(context.clusters)
        for name, engine in cluster.engines.items()
    }
    back = {
        key: versions
        for key, versions in histories.items()
        if versions != sorted(versions)
    }
    assert not back, back


@then("never more than {limit:d} engines loaded at once in any run")
def step_at_once(context, limit):
    n_loading = [cluster.n_loading_max for cluster in context.clusters]
    assert max(n_loading) <= limit, n_loading


@then("each of the first {n:d} engines got {fewest:d} to {most:d} orders")
def step_n_orders(context, n, fewest, most):
    for cluster in context.clusters:
        names = [name for _, name, _ in cluster.orders]
        counts = [names.count(name) for name in cluster.unreachable]
        assert len(counts) == n
        assert all(fewest <= count <= most for count in counts), counts


@given('an engine that lacks named weights of the models "{models}"')
def step_models(context, models):
    weights = dict.fromkeys(models.split(", "), 1)
    server = Server("e", "svc", "10.0.0.1:80", "z1", weights=weights, n_orders=0)
    context.due = [DueOrder(server, model, 2) for model in weights]


@when("orders are chosen {n:d} times, {gap_s:g} seconds apart")
def step_choose(context, n, gap_s):
    servers = {order.server.server_id: order.server for order in context.due}
    models = {order.model for order in context.due}
    limits = count_limits(servers.values(), models)
    sent_orders = {}
    context.chosen = []
    for number in range(n):
        now = number * gap_s
        for order in choose_orders(context.due, sent_orders, limits, now):
            record_order(sent_orders, order, order.server.n_orders, now)
            context.chosen.append(order)


@then('the models of the orders are "{models}"')
def step_chosen_models(context, models):
    assert ", ".join(order.model for order in context.chosen) == models, context.chosen
