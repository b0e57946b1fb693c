"""Steps for servers that send without end, and for the budget of their responses."""

import json
from contextlib import ExitStack

import anyio
from apricotlift.core.errors import ApricotliftError
from apricotlift.core.metrics import Metrics
from apricotlift.upstreams.persistentconnections import HttpCall, PersistentConnections
from apricotlift.upstreams.pool import Pool, Timeouts
from apricotlift.upstreams.readbudget import ReadBudget
from apricotlift.upstreams.tests.harness import TIMEOUT_S, start_standin, wait_until
from behave import given, then, when

MAX_BYTES = 1_000_000


@given("a server that sends bytes without end")
def step_endless_server(context):
    start_standin(context, "front", "standins.endless")


async def call_with_pool(address, place):
    async with Pool() as pool:
        await pool.request(
            "POST",
            f"http://{address}/{place}",
            timeouts=Timeouts(),
            max_bytes=MAX_BYTES,
        )


async def call_with_connections(address, place):
    connections = PersistentConnections(address, 1, Metrics())
    try:
        await connections.request(HttpCall("POST", f"/{place}"), TIMEOUT_S, MAX_BYTES)
    finally:
        assert connections.n_open == 0, connections.n_open
        await connections.close()


CLIENTS = {"pool": call_with_pool, "persistent connections": call_with_connections}


@when("each of these places is called through the {client}")
def step_call_places(context, client):
    context.errors = {}
    for row in context.table:
        try:
            anyio.run(CLIENTS[client], context.addresses["front"], row["place"])
        except ApricotliftError as error:
            context.errors[row["place"]] = (error, row["limit"])
    assert len(context.errors) == len(context.table.rows), context.errors


@then("each call fails with {code}, ran {ran}, and names its limit")
def step_calls_fail(context, code, ran):
    for place, (error, limit) in context.errors.items():
        assert (error.code, error.ran) == (code, ran), (place, error)
        assert limit in error.message, (place, error)


@then("the server saw each connection closed")
def step_connections_closed(context):
    async def read_closed():
        async with Pool() as pool:
            url = f"http://{context.addresses['front']}/_sent"
            return json.loads((await pool.request("GET", url)).body)["closed"]

    wait_until(lambda: set(anyio.run(read_closed)) == set(context.errors))


@given("a budget of {n:d} bytes")
def step_budget(context, n):
    context.budget = ReadBudget(n)
    context.large_responses = ExitStack()


@when("responses hold all of the budget")
def step_fill_budget(context):
    budget = context.budget
    while budget.n_reserved < budget.n_bytes_max:
        n_free = budget.n_bytes_max - budget.n_reserved
        reservation = context.large_responses.enter_context(budget.open_reservation())
        reservation.resize(min(n_free + 65_536, budget.n_response_bytes_max))


def read_response(context, n):
    try:
        with context.budget.open_reservation() as reservation:
            reservation.resize(n)
    except ApricotliftError as error:
        return error.code
    return None


@then("a response of {n:d} bytes is admitted")
def step_admitted(context, n):
    assert read_response(context, n) is None


@then("a response of {n:d} bytes is refused with {code}")
def step_refused(context, n, code):
    assert read_response(context, n) == code


@then("after the large responses end, a response of {n:d} bytes is admitted")
def step_admitted_after(context, n):
    context.large_responses.close()
    assert context.budget.n_reserved == 0
    assert read_response(context, n) is None
