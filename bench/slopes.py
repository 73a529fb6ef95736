"""Measures how cost grows with each count, and writes docs/capacity/.

``make slopes`` runs it. It varies one count at a time, over at least four points, with
the real code and the real codecs; docs/CAPACITY.md uses the results.
"""

import json
import multiprocessing
import sys
from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import asdict
from importlib import import_module
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from slopes_fit import Slope

__all__ = ["main"]

ROOT = Path(__file__).resolve().parent.parent
FOLDER = ROOT / "docs" / "capacity"
PARTS = ("router", "peers", "control", "hosts", "sharing")
WORKERS = 2
COLUMNS = 3
PLOT_INCHES = 3.2


def measure_part(part: str) -> list[Slope]:
    """Return the slopes of one part.

    :param part: name of the part, the suffix of its ``slopes_`` module.
    """
    sys.path.insert(0, str(ROOT / "tools"))
    return getattr(import_module(f"slopes_{part}"), f"measure_{part}")()


def draw_plots(part: str, slopes: list[Slope]) -> None:
    """Write a plot of the points and the fitted line of each slope.

    :param part: name of the part.
    :param slopes: its slopes.
    """
    rows = -(-len(slopes) // COLUMNS)
    size = (COLUMNS * PLOT_INCHES * 1.4, rows * PLOT_INCHES)
    figure, axes = pyplot.subplots(rows, COLUMNS, figsize=size, squeeze=False)
    for axis, slope in zip(axes.flat, slopes):
        counts = [count for count, _ in slope.points]
        line = [slope.fixed + slope.slope * count for count in counts]
        axis.plot(counts, [value for _, value in slope.points], "o")
        axis.plot(counts, line, "-")
        axis.set_title(slope.name, fontsize=8)
        axis.set_xlabel(slope.varied, fontsize=7)
        axis.set_ylabel(slope.unit, fontsize=7)
        axis.tick_params(labelsize=7)
        axis.set_ylim(bottom=min(0.0, *line))
    for axis in list(axes.flat)[len(slopes) :]:
        axis.axis("off")
    figure.tight_layout()
    figure.savefig(FOLDER / f"{part}.png", dpi=80)
    pyplot.close(figure)


def main() -> None:
    """Measure the parts and write the results and the plots."""
    parts = sys.argv[1:] or PARTS
    FOLDER.mkdir(parents=True, exist_ok=True)
    path = FOLDER / "slopes.json"
    figures = json.loads(path.read_text()) if path.exists() else {}
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(WORKERS, mp_context=context) as pool:
        futures: dict[str, Future] = {p: pool.submit(measure_part, p) for p in parts}
        for part, future in futures.items():
            slopes = future.result()
            figures[part] = [asdict(slope) for slope in slopes]
            draw_plots(part, slopes)
            for slope in slopes:
                print(
                    f"{slope.name}; {slope.varied}: {slope.fixed:.4g} + "
                    f"{slope.slope:.4g} each, in {slope.unit}; "
                    f"residual {slope.residual:.1%}"
                )
    path.write_text(json.dumps(figures, indent=1) + "\n")


if __name__ == "__main__":
    main()
