"""Plots of the measurements, as PNG."""

import json

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402 (after the choice of the backend)

SIZE_INCHES = (9.0, 4.0)
DOTS_PER_INCH = 90
FIGURES = (
    ('p99_ms', 'p99 to the first token, ms'),
    ('hit_rate', 'prefix hit rate'),
    ('wasted_tokens', 'tokens computed again'),
)


def plot_choice(results, path):
    """Plot ways of choosing beside each other.

    Args:
        results: figures by way, as ``choice.summarise`` returns them.
        path: the PNG file.
    """
    figure, axes = pyplot.subplots(1, len(FIGURES), figsize=SIZE_INCHES)
    ways = list(results)
    for axis, (name, label) in zip(axes, FIGURES, strict=True):
        axis.barh(ways, [results[way][name] for way in ways])
        axis.set_title(label, fontsize=9)
        axis.tick_params(labelsize=8)
        axis.invert_yaxis()
    _save(figure, path)


def plot_faults(records, faults, path):
    """Plot the time to the first token over a run with faults.

    Args:
        records: ``choice.Record`` of each request.
        faults: ``faults.Fault`` of each moment.
        path: the PNG file.
    """
    figure, axis = pyplot.subplots(figsize=SIZE_INCHES)
    whole = [r for r in records if r.is_whole]
    rest = [r for r in records if not r.is_whole]
    axis.scatter(
        [r.arrival.at for r in whole],
        [r.first_token_seconds * 1000 for r in whole],
        s=8,
        label='whole answers',
    )
    axis.scatter(
        [r.arrival.at for r in rest],
        [0.0 for _ in rest],
        s=16,
        marker='x',
        color='tab:red',
        label='refused or cut',
    )
    for fault in faults:
        axis.axvline(fault.at, color='grey', linewidth=0.8)
        axis.text(
            fault.at, axis.get_ylim()[1], fault.name, rotation=60, fontsize=7
        )
    axis.set_xlabel('seconds')
    axis.set_ylabel('ms to the first token')
    axis.legend(fontsize=8)
    _save(figure, path)


def read_results(path):
    """Return the figures of a JSON file of results."""
    return json.loads(path.read_text())


def _save(figure, path):
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)
