"""One plot for each experiment: the measured points and the fitted lines."""

from pathlib import Path

import matplotlib
from matplotlib import pyplot

from almondspread_standin.capacity.experiments import Outcome
from almondspread_standin.capacity.fits import fit_line

SHOWN = (
    ("core_percent_max", "% of a core, most"),
    ("resident_mib_max", "MiB resident, most"),
    ("kilobytes_per_second_max", "kB/s, most"),
)


def draw_outcome(outcome: Outcome, path: Path) -> None:
    """Write the plot of one experiment as SVG, the same bytes for the same points."""
    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = outcome.experiment.name
    figure, axes = pyplot.subplots(1, len(SHOWN), figsize=(10, 3))
    for axis, (name, label) in zip(axes, SHOWN, strict=True):
        points = outcome.points[name]
        line = fit_line(points)
        sizes = [point.size for point in points]
        axis.plot(sizes, [point.value for point in points], "o")
        axis.plot(sizes, [line.at(size) for size in sizes], "-")
        axis.set_xlabel(outcome.experiment.unit)
        axis.set_title(label, fontsize=9)
        axis.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(path, format="svg", metadata={"Date": None})
    pyplot.close(figure)
