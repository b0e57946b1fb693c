"""Steps for the operators' command line."""

import io
import json
import subprocess
import sys
import threading
from contextlib import asynccontextmanager, redirect_stderr, redirect_stdout
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

from apricotlift.control import commands, main
from apricotlift.control.exits import Exit
from apricotlift.control.settings import load_settings
from apricotlift.core.metrics import Metrics
from apricotlift.node.settings import load_settings as load_node_settings
from apricotlift.platform import Row
from apricotlift.state.configuration import HEAD_KEY
from apricotlift.state.declarations import load_declarations, parse_declarations
from apricotlift.state.memberlease import MEMBER_PK
from apricotlift.state.sections import MODELS
from apricotlift.state.tests.configuration_fakes import FakeObjects, FakeTable
from behave import given, then

ROOT = Path(__file__).resolve().parents[7]
OPERATOR_KEY = "operator-key"
COMMAND_NAMES = ["check", "diff", "apply", "history", "show", "exceptions"]
COMMAND_NAMES += ["status", "explain", "drain", "undrain", "hash-key"]


class ConfirmingTable(FakeTable):
    """A table on which all members confirm the head, except those in ``behind``."""

    def __init__(self, behind=()):
        super().__init__()
        self.behind = behind

    async def query(self, pk):
        if pk != MEMBER_PK:
            return await super().query(pk)
        head = self.rows.get(HEAD_KEY)
        version = head.values["version"] if head else 0
        rows = []
        for name, domain in (("e1", "atlas-a"), ("e2", "atlas-b"), ("e3", "atlas-c")):
            confirmed = 0 if name in self.behind else version
            values = {"confirmed_version": confirmed, "failure_domain": domain}
            rows.append(Row(MEMBER_PK, name, values))
        return rows


def get_folder(context):
    if not hasattr(context, "folder"):
        folder = TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.folder = Path(folder.name)
    return context.folder


def write_settings(context, admin="127.0.0.1:9"):
    folder = get_folder(context)
    (folder / "operator.key").write_text(OPERATOR_KEY + "\n")
    (folder / "control.ini").write_text(
        "[platform]\ntable_url = http://127.0.0.1:9\nobjects_url = http://127.0.0.1:9\n"
        "[operator]\nname = m.perrin\nkey_file = operator.key\n"
        f"[node]\nadmin = {admin}\ntimeout_s = 20\n"
    )


def use_platform(context, table):
    objects = FakeObjects()

    @asynccontextmanager
    async def open_fake(settings):
        yield commands.Platform(table, objects, Metrics())

    patch = mock.patch.object(commands, "open_platform", open_fake)
    patch.start()
    context.add_cleanup(patch.stop)
    write_settings(context)


def run_command(context, command, text=""):
    places = {
        "FILES": str(getattr(context, "files", "")),
        "SETTINGS": str(get_folder(context) / "control.ini"),
    }
    arguments = [places.get(word, word) for word in command.split()]
    output, errors = io.StringIO(), io.StringIO()
    with (
        redirect_stdout(output),
        redirect_stderr(errors),
        mock.patch.object(sys, "stdin", io.StringIO(text)),
    ):
        try:
            code = main.run(arguments)
        except SystemExit as error:
            code = error.code
    context.output, context.errors = output.getvalue(), errors.getvalue()
    return code


@given('the declarations of the example "{name}"')
def use_example(context, name):
    context.example = ROOT / "examples" / name
    context.files = context.example / "declarations"


@given("a declarations file")
def write_declarations(context):
    context.files = get_folder(context) / "declarations.ini"
    context.files.write_text(context.text)


@given("a platform on which every instance confirms at once")
def use_confirming_platform(context):
    use_platform(context, ConfirmingTable())


@given('a platform on which the instance "{name}" stays behind')
def use_lagging_platform(context, name):
    use_platform(context, ConfirmingTable(behind=(name,)))


@given("a platform that is down")
def use_failing_platform(context):
    table = FakeTable()
    table.is_down = True
    use_platform(context, table)


@then('the command line "{command}" ends with {code:d}')
def check_exit(context, command, code):
    found = run_command(context, command)
    assert found == code, (found, context.output, context.errors)


@then('hashing the key "{text}" ends with {code:d}')
@then('hashing the key "" ends with {code:d}')
def check_hash_exit(context, code, text=""):
    assert run_command(context, "hash-key", text + "\n") == code, context.errors


@then('standard output has "{text}"')
def check_output(context, text):
    assert text in context.output, context.output


@then('standard error has "{text}"')
def check_errors(context, text):
    assert text in context.errors, context.errors
    assert "Traceback" not in context.errors, context.errors


@then('standard error is JSON with "{code}"')
def check_json_error(context, code):
    error = json.loads(context.errors)["error"]
    assert error["code"] == code and error["next"], error


@then('standard output is JSON whose "{key}" is {value}')
def check_json(context, key, value):
    data = json.loads(context.output)
    assert data[key] == json.loads(value), data


@then("standard output is JSON whose exceptions are")
def check_exceptions(context):
    found = {item["name"]: item for item in json.loads(context.output)["exceptions"]}
    assert len(found) == len(context.table.rows), found
    for row in context.table:
        item = found[row["name"]]
        assert item["fleet_value"] == row["fleet_value"], item
        assert item["value"] == row["value"], item
        assert item["is_overdue"] is json.loads(row["is_overdue"]), item
        assert item["reason"] and item["author"] and item["review_on"], item


@then("standard output has the same declarations as the files")
def check_shown(context):
    assert parse_declarations(context.output) == load_declarations([context.files])


@then(
    "the example has {domains:d} failure domains, {engines:d} engines, {services:d} services"
)
def check_sizes(context, domains, engines, services):
    declarations = load_declarations([context.files])
    kinds = [item.kind for item in declarations.upstreams.values()]
    assert (kinds.count("engine"), kinds.count("service")) == (engines, services)
    found = {item.failure_domain for item in declarations.upstreams.values()}
    assert len(found) == domains, found
    assert len(declarations.accounts) == 10 and len(declarations.stores) == 2
    assert len(declarations.exceptions) >= 3


@then("the example's 8 node settings and its operator settings are valid")
def check_example_settings(context):
    folder = context.example / "settings"
    nodes = [load_node_settings(path) for path in sorted(folder.glob("node-*.ini"))]
    assert len({node.node.name for node in nodes}) == 8
    assert len({node.listen.callers for node in nodes}) == 8
    control = load_settings(folder / "control.ini")
    assert control.node.admin in {node.listen.admin for node in nodes}
    upstreams = load_declarations([context.files]).upstreams.values()
    domains = {item.failure_domain for item in upstreams}
    assert {node.node.failure_domain for node in nodes} == domains


@then('the example forbids to repeat a POST of "{service}" "{path}"')
def check_rule(context, service, path):
    declarations = load_declarations([context.files])
    assert declarations.find_rule(service, "POST", path) == "never"
    assert declarations.find_rule(service, "GET", path) == "safe"


class AdminHandler(BaseHTTPRequestHandler):
    """Responds like a node's admin listener, or with the server's simulated fault."""

    def do_GET(self):
        self.answer()

    def do_POST(self):
        self.answer()

    def log_message(self, *arguments):
        pass

    def answer(self):
        server = self.server
        server.asked.append((self.command, self.path))
        if server.fault == "closes the connection":
            self.close_connection = True
            return
        if server.fault == "sends no JSON":
            self.send(502, b"<html>")
            return
        authorized = self.headers.get("authorization") == f"Bearer {OPERATOR_KEY}"
        if server.fault == "refuses the key" or not authorized:
            self.send_error_body(401, "unauthenticated")
        elif self.path == "/explain/nothing":
            self.send_error_body(404, "not_found")
        else:
            replies = {
                "/status": {"state": "serving", "field_of_a_later_release": [{"a": 1}]},
                "/explain/r%2F1": {"plan": {"chosen": "m1"}},
                "/drain": {"state": "draining"},
                "/undrain": {"state": "serving"},
            }
            self.send(200, json.dumps(replies[self.path]).encode())

    def send_error_body(self, status, code):
        body = {"error": {"code": code, "message": "refused"}}
        self.send(status, json.dumps(body).encode())

    def send(self, status, body):
        self.send_response(status)
        self.send_header("content-length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


@given("an admin listener of a node")
@given("an admin listener that {fault}")
def start_listener(context, fault=""):
    server = ThreadingHTTPServer(("127.0.0.1", 0), AdminHandler)
    server.asked = []
    server.fault = fault
    host, port = server.server_address
    write_settings(context, f"{host}:{port}")
    context.listener = server
    if fault == "doesn't listen":
        server.server_close()
        return
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)


@then("the admin listener received the requests")
def check_asked(context):
    expected = [(row["method"], row["path"]) for row in context.table]
    assert context.listener.asked == expected, context.listener.asked


@then('the program "{arguments}" ends with {code:d} and no stack trace')
@then('the program "" ends with {code:d} and no stack trace')
def check_program(context, code, arguments=""):
    command = [sys.executable, "-m", "apricotlift.control.main", *arguments.split()]
    process = subprocess.run(command, capture_output=True, text=True, timeout=120)
    assert process.returncode == code, (process.returncode, process.stderr)
    assert process.stderr and "Traceback" not in process.stderr, process.stderr


@then('the help of each command has "{first}" and "{second}"')
def check_help(context, first, second):
    for name in COMMAND_NAMES:
        output = io.StringIO()
        with redirect_stdout(output):
            try:
                main.run([name, "--help"])
            except SystemExit as error:
                assert error.code == 0, name
        assert first in output.getvalue() and second in output.getvalue(), name


def format_default(field):
    if field.is_required():
        return "needed"
    if isinstance(field.default, bool):
        return "yes" if field.default else "no"
    if isinstance(field.default, float):
        return f"{field.default:g}"
    return str(field.default) if field.default else "empty"


@then("the operators' page lists each key of the declarations with its default")
def check_reference(context):
    page = (ROOT / "docs" / "operators.md").read_text()
    for section, model in MODELS.items():
        title = section if section == "fleet" else f"{section} NAME"
        part = page.partition(f"### `[{title}]`\n")[2].partition("###")[0]
        listed = [line[3:] for line in part.splitlines() if line.startswith("| `")]
        fields = {
            key: item for key, item in model.model_fields.items() if key != "name"
        }
        assert len(listed) == len(fields), (section, listed)
        for line, (key, item) in zip(listed, fields.items(), strict=True):
            assert line.startswith(f"{key}` | {format_default(item)} |"), line


@then("the operators' page lists each command and exit code")
def check_commands(context):
    page = (ROOT / "docs" / "operators.md").read_text()
    for name in COMMAND_NAMES:
        assert f"| `{name}" in page, name
    for code in Exit:
        assert f"| {code.value} | " in page, code
