"""Renders a run as one self-contained HTML page, with plots over time in which violations can be located.

Needs the extra `rehearsal` (plotly); imported only when a page is requested.
"""

from __future__ import annotations

import html
from collections import defaultdict
from typing import Any

import plotly.graph_objects as go

from lanemux.rehearsal.boxes import LOAD_SAMPLE_INTERVAL_S
from lanemux.rehearsal.plan import SECOND
from lanemux.rehearsal.report import as_text
from lanemux.rehearsal.run import Run
from lanemux.rehearsal.service import time_series

STATE_COLOURS = {
    "frozen": "#2b6cb0",
    "hung": "#d53f8c",
    "late_body": "#b83280",
    "shared": "#b7b7b7",
    "cold": "#38b2ac",
    "draining": "#dd9b1f",
    "vanished": "#805ad5",
    "down": "#4a4a4a",
    "fallen": "#c53030",
}
STATE_LABELS = {
    "frozen": "frozen",
    "hung": "hung in its responses",
    "late_body": "late with the bodies of its responses",
    "shared": "shared with another program",
    "cold": "cold",
    "draining": "draining",
    "vanished": "vanished",
    "down": "down",
    "fallen": "pushed over",
}
SMOOTHING_BINS = 4  # half seconds averaged in the service plot: one alone has only a few asks per class
SAMPLE_NS = int(LOAD_SAMPLE_INTERVAL_S * SECOND)
BOX_ROW_PX = 16  # height of a box's row
MAX_MARKED = 300  # violations drawn and listed; the table has the total
STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; margin: 0 auto; padding: 12px; max-width: 1240px; color: #222; }
pre { overflow-x: auto; background: #f5f5f3; padding: 10px; font-size: 13px; }
h1 { font-size: 21px; } h2 { font-size: 17px; margin: 24px 0 0; } p { margin: 4px 0; color: #555; }
li { overflow-wrap: anywhere; }
"""


def as_html(run: Run, name: str) -> str:
    """The page: table, plots and violations. It loads nothing from elsewhere."""
    plots = [
        (
            "Service by class",
            "Worth answered within the aim over worth asked, two seconds together, by when it was asked.",
            _service_plot(run),
        ),
        (
            "Boxes",
            "What each box held (darker: more) and its states; a cross is a broken rule, at its box or, where "
            "it has none, on top.",
            _boxes_plot(run),
        ),
        ("How tries ended", "Tries of callers that were not served, each half second, by cause.", _failures_plot(run)),
        ("Attempts", "What the boxes were sent, beside what callers asked for, a second.", _attempts_plot(run)),
    ]
    sections = []
    for i, (title, text, figure) in enumerate(plots):
        figure.update_layout(
            template="plotly_white",
            showlegend=True,
            margin={"l": 8, "r": 14, "t": 8, "b": 8},
            legend={"orientation": "h", "y": 1.01, "yanchor": "bottom"},
            font={"size": 12},
        )
        figure.update_xaxes(ticksuffix=" s", range=[0, run.plan.scenario.seconds], automargin=True)
        figure.update_yaxes(automargin=True)
        plot = figure.to_html(
            full_html=False, include_plotlyjs=not i, config={"responsive": True, "displayModeBar": False}
        )
        sections.append(f"<h2>{title}</h2>\n<p>{text}</p>\n{plot}")
    violation_items = "\n".join(
        f"<li><b>{v.rule}</b> at {v.at_ns / SECOND:.3f} s, request {html.escape(v.request or '-')}, box "
        f"{html.escape(v.box or '-')}: {html.escape(v.proof)}</li>"
        for v in run.violations[:MAX_MARKED]
    )
    title = html.escape(f"{name}, seed {run.plan.seed}")
    return (
        f'<!doctype html>\n<html lang="en"><head><meta charset="utf-8"><title>{title}</title>\n'
        f'<meta name="viewport" content="width=device-width, initial-scale=1"><style>{STYLE}</style></head>\n'
        f"<body><h1>{title}</h1>\n<pre>{html.escape(as_text(run, name))}</pre>\n{''.join(sections)}\n"
        f"<h2>Broken rules: {len(run.violations)}</h2>\n<ol>{violation_items}</ol>\n</body></html>\n"
    )


def _service_plot(run: Run) -> Any:
    points = time_series(run.plan, run.boxes, run.callers)
    figure = go.Figure()
    for request_class in run.plan.scenario.classes:
        xs, ys = [], []
        for i in range(len(points) - SMOOTHING_BINS + 1):
            asked = sum(p.asked[request_class.name] for p in points[i : i + SMOOTHING_BINS])
            if asked:
                xs.append(points[i].at_s + SMOOTHING_BINS / 4)
                ys.append(sum(p.earned[request_class.name] for p in points[i : i + SMOOTHING_BINS]) / asked)
        figure.add_scatter(x=xs, y=ys, name=request_class.name, mode="lines")
    figure.update_yaxes(range=[0, 1.03])
    figure.update_layout(height=320)
    return figure


def _boxes_plot(run: Run) -> Any:
    """A row for each box: a heat map of its requests, bars for its states, crosses for violations."""
    names = [box.host for box in run.plan.boxes]
    columns = int(run.plan.scenario.seconds * SECOND) // SAMPLE_NS + 1
    held: list[list[float | None]] = [[None] * columns for _ in names]
    for at, box, count in run.boxes.held:
        if 0 <= at // SAMPLE_NS < columns:
            held[box][at // SAMPLE_NS] = count
    figure = go.Figure(
        go.Heatmap(
            x0=SAMPLE_NS / SECOND / 2,
            dx=SAMPLE_NS / SECOND,
            y=list(range(len(names))),
            z=held,
            colorscale="Greys",
            zmin=0,
            zmax=max((count for _, _, count in run.boxes.held), default=1) or 1,
            showscale=False,
            hovertemplate="held %{z} at %{x:.1f} s<extra></extra>",
        )
    )
    spans: dict[str, list[tuple[int, float, float]]] = defaultdict(list)
    for span in run.boxes.state_spans:
        length_ns = int(run.plan.scenario.seconds * SECOND)
        if span.from_ns < length_ns:
            end = min(span.to_ns, length_ns)
            spans[span.state].append((span.who, max(0, span.from_ns) / SECOND, end / SECOND))
    for state, colour in STATE_COLOURS.items():
        if spans[state]:
            # Thin bars for long states and full ones for freezes and falls, so that none hides another.
            figure.add_bar(
                y=[n for n, _, _ in spans[state]],
                base=[a for _, a, _ in spans[state]],
                x=[b - a for _, a, b in spans[state]],
                orientation="h",
                name=STATE_LABELS[state],
                marker={"color": colour},
                width=0.85 if state in ("frozen", "fallen") else 0.3,
                opacity=0.85,
                hovertemplate=f"{STATE_LABELS[state]} from %{{base:.2f}} s<extra></extra>",
            )
    marked = run.violations[:MAX_MARKED]
    row_of_box = {name: i for i, name in enumerate(names)}  # not a category axis: it fails where a row has no data
    if marked:
        figure.add_scatter(
            x=[v.at_ns / SECOND for v in marked],
            y=[row_of_box.get(v.box, len(names)) for v in marked],
            mode="markers",
            name="broken rule",
            text=[f"{v.rule}: {html.escape(v.proof)}" for v in marked],
            hovertemplate="%{text}<extra></extra>",
            marker={"symbol": "x", "size": 11, "color": "#e53e3e", "line": {"color": "#ffffff", "width": 1}},
        )
    figure.update_layout(barmode="overlay", height=140 + BOX_ROW_PX * (len(names) + 1))
    figure.update_yaxes(
        tickvals=list(range(len(names) + 1)),
        ticktext=[*names, "no box"],
        tickfont={"size": 10},
        range=[-0.6, len(names) + 0.6],
        showgrid=False,
    )
    return figure


def _failures_plot(run: Run) -> Any:
    points = time_series(run.plan, run.boxes, run.callers)
    figure = go.Figure()
    xs = [p.at_s for p in points]
    figure.add_bar(
        x=xs, y=[p.refused_before_attempt for p in points], name="refused, no attempt", marker={"color": "#dd9b1f"}
    )
    figure.add_bar(
        x=xs, y=[p.refused_after_attempt for p in points], name="refused after an attempt", marker={"color": "#8a6d3b"}
    )
    figure.add_bar(x=xs, y=[p.failed for p in points], name="failed", marker={"color": "#805ad5"})
    figure.add_bar(x=xs, y=[p.unanswered for p in points], name="no answer", marker={"color": "#c53030"})
    figure.update_layout(barmode="stack", height=300)
    return figure


def _attempts_plot(run: Run) -> Any:
    points = time_series(run.plan, run.boxes, run.callers)
    figure = go.Figure()
    xs = [p.at_s for p in points]
    figure.add_scatter(x=xs, y=[2 * p.attempts for p in points], name="attempts at boxes", mode="lines")
    figure.add_scatter(x=xs, y=[2 * p.tries for p in points], name="tries of callers", mode="lines")
    figure.add_scatter(x=xs, y=[2 * p.asks for p in points], name="asks", mode="lines")
    figure.update_yaxes(rangemode="tozero")
    figure.update_layout(height=300)
    return figure
