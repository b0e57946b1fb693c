"""Figures of one replay, and a check of its answers against the ground truth."""

import json
import statistics
from collections import Counter
from dataclasses import dataclass, field

from bench.traces import CHUNK_TOKENS, Turn
from standins.engine import build_answer


@dataclass
class TurnResult:
    """The outcome of one turn, as its caller saw it.

    :param ttft_s: time to first token since the turn was due, in scaled seconds and
        with all retries.
    :param attempt_ids: first parts of the attempt ids in the responses of nodes.
    :param refusals: codes of refusals and of failed connections.
    :param lateness_s: how much later than due the turn was sent, in seconds.
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
    """Return the text of a stream and whether the stream is complete."""
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
    turn_results: list[TurnResult],
    prompts: dict[int, str],
    n_tokens: int,
    attempts_by_engine: dict[str, list[dict]],
) -> list[str]:
    """Return violations: wrong answers, and cached blocks of another salt or prefix."""
    violations = []
    for turn_result in turn_results:
        if not turn_result.is_whole:
            continue
        expected = "".join(build_answer(prompts[turn_result.turn.number], 0, n_tokens))
        if turn_result.text != expected:
            violations.append(
                f"turn {turn_result.turn.number}: text differs from the expected answer"
            )
    for engine, items in attempts_by_engine.items():
        for item in items:
            for block in item["cached"]:
                if block["stored_salt"] != item["salt"]:
                    violations.append(f"{engine}: used a cached block of another salt")
                if block["stored_block"] != block["block"]:
                    violations.append(
                        f"{engine}: used a cached block of another prefix"
                    )
    return violations


def summarise(
    turn_results: list[TurnResult],
    attempts_by_engine: dict[str, list[dict]],
    link_bytes: float,
    bytes_scale: float,
    time_scale: float,
) -> dict:
    """Return the figures of the turns after the warm-up.

    :param attempts_by_engine: attempts that each engine ran.
    :param link_bytes: bytes over all store links after the warm-up.
    :param bytes_scale: KV bytes in the replay over KV bytes in the deployment.
    :param time_scale: times in the replay over times in the deployment.
    """
    attempts: dict[str, list[tuple[str, int]]] = {}
    for engine, items in attempts_by_engine.items():
        for item in items:
            key = item["attempt_id"].partition(".")[0]
            n_cached = len(item["cached"]) * CHUNK_TOKENS
            attempts.setdefault(key, []).append((engine, n_cached))
    n_prompt = n_computed = 0
    engine_tokens: Counter[str] = Counter()
    for turn_result in turn_results:
        for key in set(turn_result.attempt_ids):
            for engine, n_cached in attempts.get(key, ()):
                n_left = max(1, turn_result.turn.n_tokens - n_cached)
                n_computed += n_left
                engine_tokens[engine] += n_left
        n_prompt += turn_result.turn.n_tokens
    answered = [item for item in turn_results if item.ttft_s is not None]
    raw = [item.ttft_s for item in answered]
    return {
        "n_counted": len(turn_results),
        "n_answered": len(answered),
        "n_broken": sum(not item.is_whole for item in turn_results),
        **_build_quantiles([value / time_scale for value in raw], "ttft"),
        **_build_quantiles(raw, "raw_ttft"),
        "recomputed_share": n_computed / n_prompt,
        "link_bytes_per_token": link_bytes / bytes_scale / n_prompt,
        "account_spread": _compute_account_spread(answered),
        "server_spread": _compute_server_spread(engine_tokens, len(attempts_by_engine)),
        "refusals": dict(Counter(code for r in turn_results for code in r.refusals)),
        "lateness_p99_s": compute_quantile(
            [item.lateness_s for item in turn_results], 0.99
        ),
    }


def _build_quantiles(values: list[float], name: str) -> dict[str, float]:
    return {
        f"{name}_p{percent}_s": compute_quantile(values, percent / 100)
        for percent in (50, 95, 99)
    }


def compute_quantile(values: list[float], share: float) -> float:
    """Return a quantile of the values, or NaN if there are none."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _compute_account_spread(answered: list[TurnResult]) -> float:
    """Return the highest p95 TTFT of an account over the median of all accounts."""
    by_account: dict[int, list[float]] = {}
    for item in answered:
        by_account.setdefault(item.turn.account, []).append(item.ttft_s)
    p95 = [compute_quantile(values, 0.95) for values in by_account.values()]
    return max(p95) / statistics.median(p95) if p95 else float("nan")


def _compute_server_spread(tokens: Counter[str], n_engines: int) -> float:
    """Return the most tokens computed by an engine over the mean of all engines."""
    total = sum(tokens.values())
    return max(tokens.values()) * n_engines / total if total else float("nan")


def select_counters(counters: dict[str, float]) -> dict[str, float]:
    """Return the counters that explain refusals, retries, losses and cache use."""
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
