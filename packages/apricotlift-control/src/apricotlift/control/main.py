"""The command ``apricotlift``, with which operators manage a fleet."""

import sys
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress

import anyio
import defopt
from apricotlift.control import admin, commands, render
from apricotlift.control.exits import Exit, UsageError, choose_exit, get_advice
from apricotlift.control.interrupts import treat_stop_signals_as_interrupts
from apricotlift.control.settings import ControlSettings, load_settings
from apricotlift.control.tracing import read_trace, render_trace
from apricotlift.core.errors import ApricotliftError
from apricotlift.state.acceptance import LEASE_EXPIRY_S, Acceptance
from apricotlift.state.configuration import Proposal
from apricotlift.state.declarations import load_declarations
from apricotlift.state.snapshots import hash_key as compute_key_hash

_DESCRIPTION = """\
Checks, applies and explains the configuration of a fleet of apricotlift nodes.

Exit codes: 0 done; 1 another error; 2 usage; 3 conflict with another change;
4 committed but not yet accepted; 5 findings in settings or declarations;
6 table service, object store or node not reachable.
Results go to standard output, errors and progress to standard error.
"""


def check(*paths: str, json: bool = False) -> Exit:
    """Check declaration files without connecting to anything.

    Prints all findings with file, line, section and key.

    Example: apricotlift check fleet/

    Exit codes: 0 no findings; 5 findings.

    :param paths: files, or folders, of which all .ini files are read
    :param json: print JSON
    """
    declarations = load_declarations(_require_paths(paths))
    counts = commands.count_sections(declarations)
    text = ", ".join(f"{n} {name}" for name, n in counts.items())
    return _finish(f"no findings: {text}", {"findings": [], **counts}, json)


def diff(*paths: str, settings: str, json: bool = False) -> Exit:
    """Compare declaration files with the newest version.

    Prints the version to pass to `apply --base` and one line for each change. Also
    checks that the change from the newest version is permitted.

    Example: apricotlift diff --settings control.ini fleet/

    Exit codes: 0 compared, with or without changes; 5 findings; 6 not reachable.

    :param paths: files, or folders, of which all .ini files are read
    :param settings: path of the settings file
    :param json: print JSON
    """
    checked = load_settings(settings)
    found = _run(commands.compare_with_head, checked, _require_paths(paths))
    head = found.head
    text = f"base version: {head.version}\n{render.render_changes(found.changes)}"
    data = {"base_version": head.version, "digest": head.digest}
    return _finish(text, {**data, "changes": found.changes}, json)


def apply(
    *paths: str,
    settings: str,
    base: int,
    message: str,
    author: str = "",
    wait_s: float = 30.0,
    json: bool = False,
) -> Exit:
    """Commit declaration files as the next version and wait for its acceptance.

    The version is accepted once every instance with an unexpired lease has it in
    force and a majority of all instances confirm it. Running the same command again
    is safe: it finds the version that the first run made and goes on waiting.

    Example: apricotlift apply --settings control.ini --base 41 --message "Raise the
    burst of atlas" fleet/

    Exit codes: 0 accepted; 3 another change took the version; 4 committed but not
    yet accepted; 5 findings; 6 not reachable.

    :param paths: files, or folders, of which all .ini files are read
    :param settings: path of the settings file
    :param base: the version that the files were made from, as `diff` prints it; 0 for
        the first version
    :param message: why the change is made, for the history
    :param author: who makes the change; by default [operator] name of the settings
    :param wait_s: seconds to wait for acceptance; noticing an expired lease takes 12
    :param json: print JSON
    """
    checked = load_settings(settings)
    author = author or checked.operator.name
    if not author.strip():
        raise UsageError("pass --author, or set [operator] name in the settings")
    if not message.strip():
        raise UsageError("--message is empty; say why the change is made")
    if base < 0:
        raise UsageError(f"--base is {base}; expected 0 or a version")
    declarations = load_declarations(_require_paths(paths))
    proposal = Proposal(declarations, base, author.strip(), message.strip())
    committed = _run(commands.commit, checked, proposal)
    outcome = "committed" if committed.is_new else "already in force, no changes"
    _report(f"version {committed.version}: {outcome}")
    acceptance = Acceptance(committed.version, problem="interrupted")
    with suppress(KeyboardInterrupt):
        acceptance = _run(
            commands.wait_until_accepted,
            checked,
            committed.version,
            wait_s,
            lambda found: _report(render.render_acceptance(found)),
        )
    if not acceptance.accepted:
        _report(_build_wait_advice(wait_s))
    data = {
        "version": committed.version,
        "digest": committed.digest,
        "changes": committed.changes,
        "acceptance": acceptance,
    }
    text = "\n".join(
        [render.render_changes(committed.changes), render.render_acceptance(acceptance)]
    )
    code = Exit.DONE if acceptance.accepted else Exit.NOT_ACCEPTED
    return _finish(text, data, json, code)


def history(*, settings: str, n_entries: int = 20, json: bool = False) -> Exit:
    """Print the newest versions: time, author, message and changes.

    Example: apricotlift history --settings control.ini --n-entries 5

    Exit codes: 0 printed; 5 findings in the settings; 6 not reachable.

    :param settings: path of the settings file
    :param n_entries: how many versions
    :param json: print JSON
    """
    if n_entries < 1:
        raise UsageError(f"--n-entries is {n_entries}; expected 1 or more")
    entries = _run(commands.list_history, load_settings(settings), n_entries)
    return _finish(render.render_history(entries), {"history": entries}, json)


def show(*, settings: str, at: int = 0, json: bool = False) -> Exit:
    """Print the declarations of a version as one INI text.

    Example: apricotlift show --settings control.ini --at 41

    Exit codes: 0 printed; 1 no such version; 5 findings in the settings; 6 not
    reachable.

    :param settings: path of the settings file
    :param at: the version; 0 for the newest
    :param json: print JSON
    """
    if at < 0:
        raise UsageError(f"--at is {at}; expected 0 or a version")
    head, declarations = _run(commands.read_version, load_settings(settings), at)
    text = f"# version {head.version}, digest {head.digest}\n"
    text += render.render_declarations(declarations)
    data = {"version": head.version, "digest": head.digest}
    return _finish(text, {**data, "declarations": declarations}, json)


def exceptions(*paths: str, settings: str = "", json: bool = False) -> Exit:
    """Print all exceptions from the fleet's settings with their reasons.

    Reads the newest version, or the given files instead. Exceptions past their review
    date are marked.

    Example: apricotlift exceptions --settings control.ini

    Exit codes: 0 printed; 5 findings; 6 not reachable.

    :param paths: files or folders to read instead of the newest version
    :param settings: path of the settings file
    :param json: print JSON
    """
    if paths:
        source = " ".join(paths)
        declarations = load_declarations(paths)
    elif settings:
        head, declarations = _run(commands.read_version, load_settings(settings), 0)
        source = f"version {head.version}"
    else:
        raise UsageError("pass --settings, or files to read")
    reports = commands.report_exceptions(declarations)
    text = render.render_exceptions(reports, source)
    return _finish(text, {"source": source, "exceptions": reports}, json)


def status(*, settings: str, json: bool = False) -> Exit:
    """Print a node's state and its view of the fleet.

    Example: apricotlift status --settings control.ini

    Exit codes: 0 printed; 1 refused; 5 findings in the settings; 6 not reachable.

    :param settings: path of the settings file; [node] admin names the node
    :param json: print JSON
    """
    return _finish_call(admin.get_status, load_settings(settings), json)


def explain(request_id: str, *, settings: str, json: bool = False) -> Exit:
    """Print why a node routed a request as it did.

    Only the node that served the request can explain it.

    Example: apricotlift explain --settings control.ini r-2041

    Exit codes: 0 printed; 1 unknown request; 5 findings in the settings; 6 not
    reachable.

    :param request_id: the x-request-id of the response
    :param settings: path of the settings file; [node] admin names the node
    :param json: print JSON
    """
    return _finish_call(
        admin.get_explanation, load_settings(settings), json, request_id
    )


def trace(request_id: str, *logs: str, json: bool = False) -> Exit:
    """Print what happened to a request, from the nodes' log files.

    Prints the log lines of the request, marked with >, in order of time with the lines
    that show what its node knew of the servers, the store and the configuration.

    Example: apricotlift trace 9c41d07be2a35f68 node-1.log node-2.log

    Exit codes: 0 printed; 1 no line has the id, or a file can't be read; 2 no file.

    :param request_id: the request's id, as the client sent it
    :param logs: log files, one or more
    :param json: print JSON
    """
    if not logs:
        raise UsageError("no log file given; name at least one")
    request_trace = read_trace(request_id, logs)
    return _finish(render_trace(request_trace), request_trace, json)


def drain(*, settings: str, json: bool = False) -> Exit:
    """Ask a node to accept no new requests; requests in progress are completed.

    Example: apricotlift drain --settings control.ini

    Exit codes: 0 draining; 1 refused; 5 findings in the settings; 6 not reachable.

    :param settings: path of the settings file; [node] admin names the node
    :param json: print JSON
    """
    return _finish_call(admin.start_drain, load_settings(settings), json)


def undrain(*, settings: str, json: bool = False) -> Exit:
    """Ask a draining node to accept requests again.

    Example: apricotlift undrain --settings control.ini

    Exit codes: 0 serving; 1 refused; 5 findings in the settings; 6 not reachable.

    :param settings: path of the settings file; [node] admin names the node
    :param json: print JSON
    """
    return _finish_call(admin.stop_drain, load_settings(settings), json)


def hash_key(*, json: bool = False) -> Exit:
    """Read a key from standard input and print its SHA-256 for the declarations.

    Leading and trailing whitespace is removed from the key.

    Example: apricotlift hash-key < key.txt

    Exit codes: 0 printed; 2 no key on standard input.

    :param json: print JSON
    """
    key = sys.stdin.read().strip()
    if not key:
        raise UsageError("no key on standard input")
    if not key.isascii() or not key.isprintable() or " " in key:
        raise UsageError(
            "the key on standard input must be printable ASCII without blanks"
        )
    sha256 = compute_key_hash(key)
    return _finish(sha256, {"sha256": sha256}, json)


def run(arguments: Sequence[str]) -> int:
    """Run the command line and return its exit code.

    :param arguments: the arguments without the program's name.
    """
    functions = [check, diff, apply, history, show, exceptions]
    functions += [status, explain, trace, drain, undrain, hash_key]
    try:
        return defopt.run(
            functions,
            argv=list(arguments),
            short={},
            no_negated_flags=True,
            argparse_kwargs={"prog": "apricotlift", "description": _DESCRIPTION},
        )
    except UsageError as error:
        _report(f"apricotlift: {error}")
        return Exit.USAGE
    except ApricotliftError as error:
        _report_error(error, "--json" in arguments)
        return choose_exit(error)


def main() -> None:
    """Run the command line of this process."""
    treat_stop_signals_as_interrupts()
    try:
        code = run(sys.argv[1:])
        sys.stdout.flush()
    except KeyboardInterrupt:
        _report("interrupted")
        code = Exit.OTHER
    except BrokenPipeError:
        # The reader of standard output has closed the pipe. Closing standard error
        # keeps the interpreter from reporting that it can't flush standard output.
        sys.stderr.close()
        code = Exit.OTHER
    sys.exit(code)


def _require_paths(paths: Sequence[str]) -> Sequence[str]:
    if not paths:
        raise UsageError("no declarations given; name at least one file or folder")
    return paths


def _run(function: Callable[..., Awaitable], *arguments):
    return anyio.run(function, *arguments)


def _finish_call(
    call: Callable[..., Awaitable[dict]],
    settings: ControlSettings,
    json: bool,
    *arguments: str,
) -> Exit:
    data = _run(call, settings, *arguments)
    return _finish(render.render_fields(data), data, json)


def _finish(text: str, data: object, json: bool, code: Exit = Exit.DONE) -> Exit:
    print(render.render_json(data) if json else text)
    return code


def _report(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def _report_error(error: ApricotliftError, json: bool) -> None:
    advice = get_advice(error)
    if json:
        body = error.build_body()
        body["error"]["next"] = advice
        _report(render.render_json(body))
        return
    _report(f"apricotlift: {error}")
    if advice:
        _report(f"next: {advice}")


def _build_wait_advice(wait_s: float) -> str:
    text = "next: look at the instances named above, then run the same command again"
    if wait_s <= LEASE_EXPIRY_S:
        text += f"; to notice an expired lease, --wait-s must exceed {LEASE_EXPIRY_S:g}"
    return text


if __name__ == "__main__":
    main()
