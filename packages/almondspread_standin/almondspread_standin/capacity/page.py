"""The measured tables of the page of capacity, put between its markers."""

from almondspread_standin.capacity.experiments import Outcome
from almondspread_standin.capacity.fits import find_limit, fit_line

BOUNDS = {
    "core_percent_mean": 3.2,
    "core_percent_max": 3.2,
    "resident_mib_max": 64.0,
    "kilobytes_per_second_mean": 17.0,
    "kilobytes_per_second_max": 17.0,
}


def make_marker(name: str, edge: str) -> str:
    """Return the comment at one edge of a measured table."""
    return f"<!-- measured {name} {edge} -->"


def render_table(outcome: Outcome) -> str:
    """Return the table of one experiment in Markdown."""
    experiment = outcome.experiment
    sizes = ", ".join(str(size) for size in experiment.sizes)
    lines = [
        f"Sizes: {sizes} {experiment.unit}; extrapolated to {experiment.target:g}.",
        "",
        "| value | measured | per "
        f"{experiment.unit} | fit error | at target | bound | reached at |",
        "|---|---|---|---|---|---|---|",
    ]
    for name, points in outcome.points.items():
        line = fit_line(points)
        measured = ", ".join(f"{point.value:g}" for point in points)
        bound = BOUNDS.get(name)
        reached = "—"
        if bound is not None:
            limit = find_limit(line, bound)
            reached = "never" if limit == float("inf") else f"{max(0.0, limit):.0f}"
        lines.append(
            f"| {name} | {measured} | {line.slope:.4g} | {line.error:.2g} "
            f"| {line.at(experiment.target):.3g} "
            f"| {'—' if bound is None else f'{bound:g}'} | {reached} |"
        )
    return "\n".join(lines)


def replace_table(page: str, name: str, table: str) -> str:
    """Return the page with one measured table in place of the old one.

    >>> page = "a\\n<!-- measured x begin -->old<!-- measured x end -->\\nb"
    >>> print(replace_table(page, "x", "new"))
    a
    <!-- measured x begin -->
    new
    <!-- measured x end -->
    b
    """
    begin, end = make_marker(name, "begin"), make_marker(name, "end")
    head, _, rest = page.partition(begin)
    _, _, tail = rest.partition(end)
    return f"{head}{begin}\n{table}\n{end}{tail}"
