"""Plots p95 TTFT over recomputed share from the JSON file of a replay, as SVG.

Run as ``python -m bench.replayplot REPLAY.json OUTPUT.svg``.
"""

import json
import sys
from pathlib import Path

_WIDTH, _HEIGHT, _MARGIN = 420, 320, 60
_COLOURS = ("#c33", "#27a", "#282", "#a6a", "#b80", "#555", "#000")


def draw_panel(rows: list[dict], title: str, left: int) -> list[str]:
    """Return the SVG elements of one deployment's panel.

    :param left: horizontal offset of the panel in pixels.
    """
    longest_s = max(row["ttft_p95_s"] for row in rows) * 1.1
    width, height = _WIDTH - 2 * _MARGIN, _HEIGHT - 2 * _MARGIN
    x0, y0 = left + _MARGIN, _HEIGHT - _MARGIN
    parts = [
        f'<path d="M{x0} {y0 - height}V{y0}H{x0 + width}" fill="none" stroke="#000"/>',
        f'<text x="{x0}" y="{_MARGIN - 25}" font-weight="bold">{title}</text>',
        f'<text x="{x0}" y="{y0 + 35}">recomputed share, 0 to 1</text>',
        f'<text x="{x0}" y="{_MARGIN - 8}">p95 TTFT, 0 to {longest_s:.1f} s</text>',
    ]
    for colour, row in zip(_COLOURS, rows, strict=False):
        x = x0 + width * row["recomputed_share"]
        y = y0 - height * row["ttft_p95_s"] / longest_s
        parts.append(f'<circle cx="{x:.0f}" cy="{y:.0f}" r="5" fill="{colour}"/>')
        parts.append(
            f'<text x="{x - 8:.0f}" y="{y + 4:.0f}" text-anchor="end" '
            f'fill="{colour}">{row["policy"]}</text>'
        )
    return parts


def main() -> None:
    """Write the plot as an SVG file."""
    source, target = sys.argv[1:]
    rows = json.loads(Path(source).read_text())
    names = list(dict.fromkeys(row["deployment"] for row in rows))
    parts = []
    for number, name in enumerate(names):
        chosen = [row for row in rows if row["deployment"] == name]
        title = f"{name}, load {chosen[0]['load']:g}, seed {chosen[0]['seed']}"
        parts += draw_panel(chosen, title, number * _WIDTH)
    body = "\n".join(parts)
    Path(target).write_text(
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{_WIDTH * len(names)}" '
        f'height="{_HEIGHT}" font-family="sans-serif" font-size="11">\n'
        f'<rect width="100%" height="100%" fill="#fff"/>\n{body}\n</svg>\n'
    )


if __name__ == "__main__":
    main()
