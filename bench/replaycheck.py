"""Figures of one replay, and a check of its answers against the ground truth."""

import json
import statistics
from collections import Counter
from dataclasses import dataclass, field

from bench.traces import CHUNK_TOKENS, Turn
from standins.engine import build_answer


@dataclass
class Reading:
    """What the caller of one turn saw.

    :param ttft_s: seconds of the replay since the turn was due, retries included.
    :param attempt_ids: first part of the attempt ids that nodes named.
    :param refusals: codes of refusals and of failed connections.
    """

    turn: Turn
    node: str = ""
    ttft_s: float | None = None
    text: str = ""
    is_whole: bool = False
    attempt_ids: list[str] = field(default_factory=list)
    refusals: list[str] = field(default_factory=list)
    lateness_s: float = 0.0


def read_whole_text(body: bytes) -> tuple[str, bool]:
    """Return the text of a stream and whether it ended as a whole one does."""
    text = ""
    finish_reason = None
    data = [
        line[6:] for line in body.decode().splitlines() if line.startswith("data: ")
    ]
    is_done = bool(data) and data[-1] == "[DONE]"
    for item in data:
        if item == "[DONE]":
            continue
        chunk = json.loads(item)
        if "choices" not in chunk:
            return text, False
        text += chunk["choices"][0].get("text", "")
        finish_reason = chunk["choices"][0]["finish_reason"] or finish_reason
    return text, is_done and finish_reason is not None


def check_answers(
    readings: list[Reading],
    prompts: dict[int, str],
    n_tokens: int,
    ran: dict[str, list[dict]],
) -> list[str]:
    """Return violations: wrong or broken answers, and blocks of another account."""
    violations = []
    for reading in readings:
        if not reading.is_whole:
            continue
        expected = "".join(build_answer(prompts[reading.turn.number], 0, n_tokens))
        if reading.text != expected:
            violations.append(f"turn {reading.turn.number}: another answer")
    for engine, items in ran.items():
        for item in items:
            for block in item["cached"]:
                if block["stored_salt"] != item["salt"]:
                    violations.append(f"{engine}: block of another salt")
                if block["stored_block"] != block["block"]:
                    violations.append(f"{engine}: block of another prefix")
    return violations


def summarise(
    readings: list[Reading],
    ran: dict[str, list[dict]],
    link_bytes: float,
    bytes_scale: float,
    time_scale: float,
) -> dict:
    """Return the figures of the counted readings.

    :param link_bytes: bytes over all links while the readings were taken.
    """
    attempts: dict[str, list[tuple[str, int]]] = {}
    for engine, items in ran.items():
        for item in items:
            key = item["attempt_id"].partition(".")[0]
            n_cached = len(item["cached"]) * CHUNK_TOKENS
            attempts.setdefault(key, []).append((engine, n_cached))
    n_prompt = n_computed = 0
    engine_tokens: Counter[str] = Counter()
    for reading in readings:
        for key in set(reading.attempt_ids):
            for engine, n_cached in attempts.get(key, ()):
                n_left = max(1, reading.turn.n_tokens - n_cached)
                n_computed += n_left
                engine_tokens[engine] += n_left
        n_prompt += reading.turn.n_tokens
    answered = [item for item in readings if item.ttft_s is not None]
    raw = [item.ttft_s for item in answered]
    return {
        "n_counted": len(readings),
        "n_answered": len(answered),
        "n_broken": sum(not item.is_whole for item in readings),
        **_build_quantiles([value / time_scale for value in raw], "ttft"),
        **_build_quantiles(raw, "raw_ttft"),
        "recomputed_share": n_computed / n_prompt,
        "link_bytes_per_token": link_bytes / bytes_scale / n_prompt,
        "account_spread": _compute_account_spread(answered),
        "server_spread": _compute_server_spread(engine_tokens, len(ran)),
        "refusals": dict(Counter(code for r in readings for code in r.refusals)),
        "lateness_p99_s": take_quantile([item.lateness_s for item in readings], 0.99),
    }


def _build_quantiles(values: list[float], name: str) -> dict[str, float]:
    return {
        f"{name}_p{percent}_s": take_quantile(values, percent / 100)
        for percent in (50, 95, 99)
    }


def take_quantile(values: list[float], share: float) -> float:
    """Return a quantile, not a number where there are no values."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _compute_account_spread(answered: list[Reading]) -> float:
    """Return the worst account's p95 TTFT over the median account's."""
    by_account: dict[int, list[float]] = {}
    for item in answered:
        by_account.setdefault(item.turn.account, []).append(item.ttft_s)
    p95 = [take_quantile(values, 0.95) for values in by_account.values()]
    return max(p95) / statistics.median(p95) if p95 else float("nan")


def _compute_server_spread(tokens: Counter[str], n_engines: int) -> float:
    """Return the busiest server's computed tokens over the mean server's."""
    total = sum(tokens.values())
    return max(tokens.values()) * n_engines / total if total else float("nan")


def select_counters(counters: dict[str, float]) -> dict[str, float]:
    """Return the counters that say why something was refused, retried or lost."""
    wanted = (
        "retries",
        "refusals",
        "failed",
        "fetch",
        "export",
        "prefix_",
        "owner_queries",
        "peer_",
        "placements",
        "kv_events",
        "cached_tokens",
        "prompt_tokens",
        "link_bytes",
        "store_drops",
        "block_drops",
        "dropped",
    )
    return {
        name.removeprefix("apricotlift_"): value
        for name, value in sorted(counters.items())
        if any(word in name for word in wanted)
    }
