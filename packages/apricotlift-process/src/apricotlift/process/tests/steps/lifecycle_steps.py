"""Steps of the phases of a process and its signals."""

import signal
import subprocess
import sys

import anyio
from apricotlift.core.metrics import Metrics
from apricotlift.process.lifecycle import Lifecycle
from behave import given, then, when

_RECEIVE_EARLY = """
import signal, sys
from apricotlift.process import capture_signals
captured = capture_signals()
for name in sys.argv[1:]:
    signal.raise_signal(signal.Signals[name])
import anyio
async def receive():
    for _ in sys.argv[1:]:
        print((await captured.receive()).name)
anyio.run(receive)
"""

_RECEIVE_SERIES = """
import signal, sys
import anyio
import anyio.lowlevel
from apricotlift.process import capture_signals
captured = capture_signals()
n_turns = 0
async def take_turns():
    global n_turns
    while True:
        n_turns += 1
        await anyio.lowlevel.checkpoint()
async def run():
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(take_turns)
        n_received = n_idle_turns = 0
        for _ in range(int(sys.argv[1])):
            signal.raise_signal(signal.Signals[sys.argv[2]])
        while True:
            n_turns_before = n_turns
            with anyio.move_on_after(0.3) as scope:
                await captured.receive()
            if scope.cancelled_caught:
                break
            n_received += 1
            n_idle_turns += n_turns == n_turns_before
        print(n_received, n_idle_turns)
        tasks.cancel_scope.cancel()
anyio.run(run)
"""

# An object that is kept until the end of the interpreter is deleted after it has
# restored the default actions of signals.
_IGNORE_AND_EXIT = """
import signal, sys
from apricotlift.process import capture_signals
class Late:
    def __init__(self, names, raise_signal):
        self.names, self.raise_signal = names, raise_signal
    def __del__(self):
        for number in self.names:
            self.raise_signal(number)
sys.late = Late([signal.Signals[name] for name in sys.argv[1:]], signal.raise_signal)
captured = capture_signals()
captured.ignore()
"""


@given("a process that is {phase}")
def step_process(context, phase):
    context.n_reloads = 0
    context.actions = [begin_service] if phase == "serving" else []


def begin_service(context):
    def count_reload():
        context.n_reloads += 1

    context.lifecycle.begin_service(count_reload)


@when('it gets the signals "{names}"')
def step_get_signals(context, names):
    for name in names.split():
        number = signal.Signals[name]
        context.actions.append(
            lambda context, number=number: context.lifecycle.handle_signal(number)
        )


@when("it begins to serve")
def step_begin_service(context):
    context.actions.append(begin_service)


@then(
    "it is {phase}, with the start {start}, {n:d} reloads and the shutdown {shutdown}"
)
def step_check(context, phase, start, n, shutdown):
    async def play():
        # A cancel scope can only be made in an event loop.
        context.lifecycle = Lifecycle(Metrics())
        for action in context.actions:
            action(context)

    anyio.run(play)
    lifecycle = context.lifecycle
    assert lifecycle.phase == phase, lifecycle.phase
    assert lifecycle.start_scope.cancel_called is (start == "cancelled")
    assert context.n_reloads == n, context.n_reloads
    assert lifecycle.is_interrupted is (shutdown == "shortened")


@when('a process gets "{names}" before its loop runs')
def step_signal_early(context, names):
    context.ended = run_script(_RECEIVE_EARLY, names)


@when('a process gets {n:d} times "{name}" while another task runs')
def step_signal_series(context, n, name):
    context.ended = run_script(_RECEIVE_SERIES, f"{n} {name}")


@then("it receives fewer than {n:d} signals, and the other task has run in between")
def step_receives_few(context, n):
    assert context.ended.returncode == 0, context.ended
    n_received, n_without_turn = map(int, context.ended.stdout.split())
    assert 1 <= n_received < n, context.ended
    assert n_without_turn == 0, context.ended


@when('a process that ignores signals gets "{names}" as it exits')
def step_signal_late(context, names):
    context.ended = run_script(_IGNORE_AND_EXIT, names)


def run_script(script, names):
    command = [sys.executable, "-c", script, *names.split()]
    return subprocess.run(command, capture_output=True, text=True, timeout=30)


@then('it receives "{names}"')
def step_receives(context, names):
    assert context.ended.returncode == 0, context.ended
    assert context.ended.stdout.split() == names.split(), context.ended


@then("it has exited with code {code:d}")
def step_exited(context, code):
    assert context.ended.returncode == code, context.ended
