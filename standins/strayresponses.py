"""Responses that a faulty server writes a second time, or to the wrong request."""

_STATUS_LINES = {
    "200": "200 OK",
    "400": "400 Bad Request",
    "404": "404 Not Found",
    "421": "421 Misdirected Request",
    "429": "429 Too Many Requests",
    "503": "503 Service Unavailable",
}


def build_stray_response(description: str, request_id: str, server_id: str) -> bytes:
    """Return a response with an empty body.

    :param description: status and names of header lines, separated by blanks, as in
        ``503 not-run other-id``.

    >>> build_stray_response("429 own-id", "r1", "i-1").splitlines()[:2]
    [b'HTTP/1.1 429 Too Many Requests', b'x-request-id: r1']
    """
    header_lines = {
        "not-run": "x-not-executed: 1",
        "own-id": f"x-request-id: {request_id}",
        "other-id": "x-request-id: other",
        "own-instance": f"x-instance-id: {server_id}",
        "leaving": "server-leaving: 1",
        "pause": "retry-after: 30",
    }
    status, *names = description.split()
    lines = [f"HTTP/1.1 {_STATUS_LINES[status]}"]
    lines += [header_lines[name] for name in names]
    lines.append("content-length: 0")
    return "".join(f"{line}\r\n" for line in lines).encode() + b"\r\n"
