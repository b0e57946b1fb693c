"""Steps with regions."""

from behave import given, when

from features.forwardingfleet import build_configuration, put_row


@given('settings with the regions "{regions}"')
def step_regions(context, regions):
    context.regions = dict(item.split("=") for item in regions.split(", "))


@given('the operator allows the routes the region "{region}"')
@when('the operator allows the routes the region "{region}"')
def step_allow(context, region):
    context.version = getattr(context, "version", 5) + 1
    value = build_configuration(context.version, allowed_regions=[region])
    put_row(context, "op", "config", value)
    node = context.nodes["n1"]
    node.wait_for_event("configuration_applied", version=context.version)
