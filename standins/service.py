"""Stand-in for an HTTP service that counts how often each call took effect.

Run as ``python -m standins.service --name d1``. Every path but ``/health``,
``/faults`` and ``/truth`` is a call; its key is the ``idempotency-key`` header, or
the digest of the body if there is none.
"""

import hashlib
from collections import Counter
from dataclasses import dataclass, field

import anyio
import defopt
from apricotlift.core import logs

from standins.http import Reply, Request, bind, build_app, build_json_reply
from standins.http import serve as serve_http


@dataclass
class Faults:
    """Faults that ``POST /faults`` sets; a field that isn't given is off.

    A count, whose name begins with ``n_``, applies to that number of next calls.

    :param delay_s: seconds to wait before the effect.
    :param answer_delay_s: seconds to wait between the effect and the answer.
    :param n_dropped_answers: close the connection after the effect.
    :param n_dropped_calls: close the connection before the effect.
    :param n_errors_before: answer 500 before the effect.
    :param n_errors_after: answer 500 after the effect.
    :param draining: answer 503 to ``/health`` and to calls.
    """

    delay_s: float = 0.0
    answer_delay_s: float = 0.0
    n_dropped_answers: int = 0
    n_dropped_calls: int = 0
    n_errors_before: int = 0
    n_errors_after: int = 0
    draining: bool = False

    def consume(self, name: str) -> bool:
        """Return whether a counted fault applies to this call, and decrement it."""
        n_left = getattr(self, name)
        setattr(self, name, max(0, n_left - 1))
        return n_left > 0


@dataclass
class Service:
    """The state of one service process."""

    name: str
    runs: Counter = field(default_factory=Counter)
    faults: Faults = field(default_factory=Faults)


async def handle(service: Service, request: Request) -> Reply:
    """Answer one request."""
    faults = service.faults
    if request.path == "/faults":
        try:
            service.faults = Faults(**request.read_json())
        except TypeError as error:
            return build_json_reply({"error": str(error)}, 400)
        return build_json_reply({})
    if request.path == "/truth":
        return build_json_reply({"runs": service.runs})
    if faults.draining:
        return Reply(503, b"draining")
    if request.path == "/health":
        return Reply(200, b"ok")
    reply = await _execute_call(service, request)
    request_id = request.headers.get("x-request-id")
    if request_id:
        reply.headers["x-request-id"] = request_id
    return reply


async def _execute_call(service: Service, request: Request) -> Reply:
    faults = service.faults
    body_digest = hashlib.sha256(request.body).hexdigest()
    key = request.headers.get("idempotency-key", body_digest)
    await anyio.sleep(faults.delay_s)
    if faults.consume("n_dropped_calls"):
        return Reply(cut=True)
    if faults.consume("n_errors_before"):
        return build_json_reply({"error": "before"}, 500)
    service.runs[key] += 1
    if faults.consume("n_dropped_answers"):
        return Reply(cut=True)
    await anyio.sleep(faults.answer_delay_s)
    if faults.consume("n_errors_after"):
        return build_json_reply({"error": "after"}, 500)
    return build_json_reply(
        {
            "service": service.name,
            "method": request.method,
            "path": request.path,
            "key": key,
            "body_digest": body_digest,
            "run": service.runs[key],
        }
    )


def main(*, name: str = "service", address: str = "127.0.0.1:0") -> None:
    """Run a stand-in service.

    :param name: name of the component in logs and answers
    :param address: HOST:PORT to listen on; port 0 lets the system choose
    """
    logs.configure(name)
    service = Service(name)

    async def answer(request: Request, _):
        return await handle(service, request)

    anyio.run(serve_http, build_app(answer), bind(address), name)


if __name__ == "__main__":
    defopt.run(main)
