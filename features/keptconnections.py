"""Helpers of steps that need connections which a node keeps to its servers."""

import threading

from features.forwardingfleet import (
    HOST,
    get_address,
    read_server_records,
    send_http_request,
)

#: Requests at the same time that are enough for each of three servers to get one.
_N_OPENING_REQUESTS = 9
_OPENING_SCRIPT = "slow:0.1"


def open_connections(context, name):
    """Have the node keep connections to all servers."""
    address = get_address(context, name)
    n_results = len(context.results)

    def send(number):
        headers = {"Host": HOST, "X-Key": "k1", "X-Script": _OPENING_SCRIPT}
        headers["X-Request-Id"] = f"opening-{n_results}-{number}"
        assert send_http_request(address, "GET", "/lookup/a", headers)[0] == 200

    senders = [
        threading.Thread(target=send, args=(number,))
        for number in range(_N_OPENING_REQUESTS)
    ]
    for sender in senders:
        sender.start()
    for sender in senders:
        sender.join()


def check_kept_connections(context):
    """Check that most first attempts used a connection that was kept.

    A node avoids servers that have just failed, so it may have none to some of them.
    """
    first_entries = [list_entries(context, result)[0] for result in context.results]
    n_kept = sum(entry["n_earlier"] > 0 for entry in first_entries)
    assert n_kept > len(first_entries) / 2, first_entries


def list_entries(context, result):
    seen = read_server_records(context)["seen"]
    return [entry for entry in seen if entry["id"] == result.request_id]
