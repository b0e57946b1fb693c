"""Steps with evacuated failure domains."""

from behave import given, then, when

from features.forwardingfleet import (
    put_row,
    put_server,
    read_server_records,
    send_client_request,
)
from features.waiting import wait_until


def count_log_lines(context, **wanted):
    return sum(
        all(line.get(key) == value for key, value in wanted.items())
        for line in context.nodes["n1"].read_log()
    )


@given('the server "{server}" is in the domain "{domain}"')
@when('the server "{server}" is in the domain "{domain}"')
def step_domain(context, server, domain):
    n_before = count_log_lines(context, server=server)
    put_server(context, server, context.servers[server], domain=domain)
    wait_until(lambda: count_log_lines(context, server=server) > n_before)


@given('the operator evacuates the domain "{domain}"')
@when('the operator evacuates the domain "{domain}"')
def step_evacuate(context, domain):
    put_row(context, "op", f"evacuate/{domain}", {})
    context.nodes["n1"].wait_for_event("evacuation_started", failure_domain=domain)


@when('the operator removes the row of the domain "{domain}"')
def step_remove(context, domain):
    put_row(context, "op", f"evacuate/{domain}", None)
    context.nodes["n1"].wait_for_event("evacuation_ended", failure_domain=domain)


@then('only the server "{names}" received requests')
@then('only the servers "{names}" received requests')
def step_only(context, names):
    found = {entry["server"] for entry in read_server_records(context)["seen"]}
    assert found == set(names.split(", ")), found


@then('the server "{server}" soon gets a request for "{target}" from "{node}"')
def step_returns(context, server, target, node):
    def has_returned():
        assert send_client_request(context, node, "GET", target)[0] == 200
        seen = read_server_records(context)["seen"]
        return server in [entry["server"] for entry in seen]

    wait_until(has_returned)
