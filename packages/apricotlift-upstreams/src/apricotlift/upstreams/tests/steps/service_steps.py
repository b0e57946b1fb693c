"""Steps for plain services."""

from apricotlift.upstreams.pool import Timeouts
from apricotlift.upstreams.service import ServiceCall, ServiceClient
from apricotlift.upstreams.tests.harness import fetch_json, run_action
from behave import then, when


@when("a non-repeatable call is sent")
def step_call(context):
    call = ServiceCall("POST", "/orders", {"idempotency-key": "k"}, b"{}")
    timeouts = Timeouts(connect_s=5.0, read_s=1.0, write_s=5.0)

    async def action(pool):
        address = context.addresses["service"]
        client = ServiceClient("service", address, pool, context.metrics)
        return await client.call(call, timeouts)

    run_action(context, action)


@then("the call took effect {n:d} times")
def step_check_runs(context, n):
    runs = fetch_json(context, "service direct")["runs"]
    assert runs.get("k", 0) == n, runs


@then("the service answered {status:d}")
def step_check_status(context, status):
    assert context.error is None, context.error
    assert context.result.status == status


@then("the service's state is {state}")
def step_check_state(context, state):
    async def action(pool):
        address = context.addresses["service"]
        client = ServiceClient("service", address, pool, context.metrics)
        return await client.get_state()

    run_action(context, action)
    assert context.result == state, (context.result, context.error)
