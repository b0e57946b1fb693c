"""Steps for reading, checking and comparing declarations."""

from dataclasses import replace
from tempfile import TemporaryDirectory

from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.state.changes import (
    RetiredNames,
    check_change,
    compare_declarations,
    find_retired,
)
from apricotlift.state.declarations import (
    Declarations,
    Model,
    decode_document,
    digest_document,
    encode_document,
    load_declarations,
    parse_declarations,
)
from apricotlift.state.sections import MODELS
from behave import given, then, when
from hypothesis import given as generate
from hypothesis import settings
from hypothesis import strategies as st

BASE_DECLARATIONS = """
[account atlas]
models = wax
[model wax]
weight_version = v1
[upstream m1]
kind = engine
address = 127.0.0.1:9
failure_domain = a
models = wax
"""

_WORDS = st.sampled_from(
    ["", " ", "\t", "a", "wax", "fleet", "account a", "1", "-1", "nan", "1e999", "64.0"]
    + ["2026-01-01", "weight_version.wax", "127.0.0.1:9", "[::1]:1", "engine", "\x00"]
    + ["yes", "never", "GET", "/x", "9" * 5000, "\ud800", "é", "%(x)s", "a,b,,"]
)
_KEYS = st.sampled_from(
    sorted({key for model in MODELS.values() for key in model.model_fields})
)
_SECTION_NAMES = st.tuples(
    st.sampled_from([*MODELS, "other", ""]), st.sampled_from(["", " ", "\t"]), _WORDS
).map("".join)
_SECTIONS = st.builds(
    lambda name, values: f"[{name}]\n" + "\n".join(f"{k} = {v}" for k, v in values),
    _SECTION_NAMES,
    st.lists(st.tuples(_KEYS, _WORDS), max_size=6),
)
_TEXTS = st.one_of(
    st.text(max_size=200), st.lists(_SECTIONS, max_size=6).map("\n".join)
)


@when("the declarations reader is given {n_texts:d} generated texts")
def read_generated(context, n_texts):
    context.outcomes = []

    @settings(derandomize=True, max_examples=n_texts, deadline=None, database=None)
    @generate(_TEXTS)
    def read(text):
        try:
            outcome = parse_declarations(text)
        except ApricotliftError as error:
            outcome = error
        context.outcomes.append(outcome)

    read()


@then("each text gives declarations or one error with findings")
def check_outcomes(context):
    errors = [item for item in context.outcomes if isinstance(item, ApricotliftError)]
    assert all(item.code is Code.BAD_DECLARATIONS for item in errors)
    assert all(item.details["findings"] for item in errors)
    accepted = [item for item in context.outcomes if item not in errors]
    assert errors and accepted, (len(errors), len(accepted))
    for item in accepted:
        assert decode_document(encode_document(item)) == item


@given('the declarations "base"')
def parse_base(context):
    context.old = parse_declarations(BASE_DECLARATIONS)


@when("the declarations are encoded and decoded")
def encode_and_decode(context):
    context.body = encode_document(context.old)
    context.decoded = decode_document(context.body)


@then("the declarations are equal and their digest is the same again")
def check_equal(context):
    assert context.decoded == context.old
    again = encode_document(context.decoded)
    assert digest_document(again) == digest_document(context.body)


@when("the declarations of an empty folder are read")
def read_empty_folder(context):
    with TemporaryDirectory() as folder:
        try:
            load_declarations([folder])
            context.error = None
        except ApricotliftError as error:
            context.error = error


@then('the declarations reading fails with "{code}"')
def check_reading_failed(context, code):
    assert context.error is not None, "the folder was accepted"
    assert code in str(context.error), context.error


@given("the declarations text")
def store_text(context):
    context.declarations_text = context.text


@when("the declarations are checked")
def check_text(context):
    try:
        parse_declarations(context.declarations_text, "d.ini")
    except ApricotliftError as error:
        context.findings = error.details["findings"]


@then("the declarations findings are")
def check_findings(context):
    expected = [(int(row["place"]), row["code"]) for row in context.table]
    found = []
    for text in context.findings:
        line = int(text.split(":")[1])
        found.append((line, text.rpartition("(")[2].rstrip(")")))
    assert sorted(found) == expected, context.findings


@when("the declarations change to")
def change_declarations(context):
    new = parse_declarations(context.text)
    context.changes = compare_declarations(context.old, new)


@then("the declarations changes are")
def check_changes(context):
    found = "\n".join(str(change) for change in context.changes)
    assert found == context.text, found


def check_and_store_error(context, old, new, retired):
    try:
        check_change(old, new, retired)
        context.error = None
    except ApricotliftError as error:
        context.error = error


@when('the declarations retire "wax@v1" and declare it again')
def retire_and_reuse(context):
    middle = replace(context.old, models={"wax": Model("wax", "v2")})
    retired = find_retired(context.old, middle)
    check_change(context.old, middle, RetiredNames())
    check_and_store_error(context, middle, context.old, retired)


@when('the declarations give "m1" another kind')
def change_kind(context):
    changed = replace(context.old.upstreams["m1"], kind="service", service="desk")
    new = replace(context.old, upstreams={"m1": changed})
    check_and_store_error(context, context.old, new, RetiredNames())


@when('the declarations remove "m1" and declare it with another kind')
def remove_and_reuse(context):
    middle = replace(context.old, upstreams={})
    retired = find_retired(context.old, middle)
    changed = replace(context.old.upstreams["m1"], kind="service", service="desk")
    new = Declarations(upstreams={"m1": changed})
    check_and_store_error(context, middle, new, retired)


@then('the declarations change is refused with "{code}"')
def check_refused(context, code):
    assert context.error is not None, "the change was accepted"
    assert code in str(context.error), context.error
