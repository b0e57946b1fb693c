"""Steps of the rows that nodes share, overwritten by another program."""

import json

import anyio
from apricotlift.core.metrics import Metrics
from apricotlift.forwarding.clustersecret import (
    PARTITION,
    ROW,
    read_or_create_cluster_secret,
)
from apricotlift.forwarding.tests.forwarding_fakes import Clock, MemoryTable
from apricotlift.state.tableleases import LeaseSettings, TableLease
from apricotlift.wire.handshake import check_secret
from behave import given, then, when

_SETTINGS = LeaseSettings(0.8, 4.0)


@given("a table whose secret row has {values}")
def step_secret_row(context, values):
    context.rows_table = MemoryTable({(PARTITION, ROW): json.loads(values)})


@when("two nodes read the secret of the cluster")
def step_read_secret(context):
    async def read():
        with anyio.fail_after(5):
            return await read_or_create_cluster_secret(context.rows_table)

    context.secrets = [anyio.run(read) for _ in range(2)]


@then("both have the same secret of at least 16 bytes")
def step_same_secret(context):
    first, second = context.secrets
    check_secret(first)
    assert first == second and len(first) >= 16


@given("a lease row with {values}, after one with the fencing number 41")
def step_lease_row(context, values):
    context.clock = Clock()
    context.rows_table = MemoryTable({("orders", "weights"): json.loads(values)})


@then("it is taken over after the wait of 4 s, with a fencing number above 41")
def step_taken_over(context):
    lease = TableLease(
        context.rows_table,
        "orders",
        "weights",
        "n1",
        Metrics(),
        _SETTINGS,
        context.clock,
    )
    assert not anyio.run(lease.acquire)
    context.clock.now += 3.9
    assert not anyio.run(lease.acquire)
    context.clock.now += 0.2
    assert anyio.run(lease.acquire)
    assert lease.is_valid() and 41 < lease.fence < 2**53, lease.fence
    assert anyio.run(lease.renew)
