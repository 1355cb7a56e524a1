"""Bar charts as SVG for the benchmark reports."""

from xml.sax.saxutils import escape

WIDTH, BAR, GAP, LEFT = 640, 22, 8, 150


def bar_chart(title: str, bars: dict[str, float]) -> str:
    """Return an SVG document with one labelled horizontal bar for each item."""
    height = 40 + len(bars) * (BAR + GAP)
    scale = (WIDTH - LEFT - 70) / max(bars.values())
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}" '
        'font-family="sans-serif" font-size="13">',
        f'<rect width="{WIDTH}" height="{height}" fill="white"/>',
        f'<text x="8" y="20" font-weight="bold">{escape(title)}</text>',
    ]
    for index, (name, value) in enumerate(bars.items()):
        top = 34 + index * (BAR + GAP)
        length = value * scale
        parts += [
            f'<text x="{LEFT - 8}" y="{top + 16}" text-anchor="end">{escape(name)}</text>',
            f'<rect x="{LEFT}" y="{top}" width="{length:.1f}" height="{BAR}" fill="#3b6ea5"/>',
            f'<text x="{LEFT + length + 6:.1f}" y="{top + 16}">{value:.2f}</text>',
        ]
    return "\n".join([*parts, "</svg>", ""])
