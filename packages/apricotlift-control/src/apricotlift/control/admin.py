"""Client of a node's admin listener: JSON over HTTP, with the operator's key."""

import json
from urllib.parse import quote

from apricotlift.control.settings import (
    ControlSettings,
    build_client_context,
    read_operator_key,
    require,
)
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.upstreams.pool import Pool, Response, Timeouts


async def get_status(settings: ControlSettings) -> dict:
    """Return the node's own state and its view of the fleet."""
    return await _call(settings, "GET", "/status")


async def get_explanation(settings: ControlSettings, request_id: str) -> dict:
    """Return the decisions that the node made for a request."""
    return await _call(settings, "GET", f"/explain/{quote(request_id, safe='')}")


async def start_drain(settings: ControlSettings) -> dict:
    """Ask the node to accept no new requests."""
    return await _call(settings, "POST", "/drain")


async def stop_drain(settings: ControlSettings) -> dict:
    """Ask a draining node to accept requests again."""
    return await _call(settings, "POST", "/undrain")


async def _call(settings: ControlSettings, method: str, path: str) -> dict:
    require(settings, "node", "admin")
    node = settings.node
    headers = {"authorization": f"Bearer {read_operator_key(settings)}"}
    scheme = "https" if node.tls else "http"
    timeouts = Timeouts(node.timeout_s, node.timeout_s, node.timeout_s)
    async with Pool(build_client_context(settings)) as pool:
        try:
            response = await pool.request(
                method, f"{scheme}://{node.admin}{path}", headers, b"", timeouts
            )
        except ApricotliftError as error:
            message = f"admin listener {node.admin}: {error.message}"
            raise ApricotliftError(
                Code.PEER_UNREACHABLE, message, error.ran, Scope.NODE
            ) from error
    return _parse_response(response, node.admin)


def _parse_response(response: Response, address: str) -> dict:
    try:
        data = json.loads(response.body or b"{}")
    except ValueError:
        data = None
    if response.status < 300 and isinstance(data, dict):
        return data
    error = data.get("error") if isinstance(data, dict) else None
    if not isinstance(error, dict):
        message = f"admin listener {address} answered {response.status} without JSON"
        raise ApricotliftError(Code.PEER_PROTOCOL, message, Ran.MAYBE, Scope.NODE)
    try:
        code = Code(error.get("code"))
    except ValueError:
        code = Code.PEER_PROTOCOL
    message = f"admin listener {address}: {error.get('message', error.get('code'))}"
    raise ApricotliftError(code, message, Ran.NO, Scope.NODE)
