"""Plots of benchmark results, as PNG files."""

import json

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402 (the backend must be set first)

FIGURE_SIZE_INCHES = (9.0, 4.0)
DOTS_PER_INCH = 90
METRICS = (
    ('p99_ms', 'p99 to the first token, ms'),
    ('hit_rate', 'prefix hit rate'),
    ('wasted_tokens', 'tokens computed again'),
)


def plot_choice(results, path):
    """Plot the figures of the policies side by side.

    Args:
        results: figures by policy, as ``engine_policies.summarise``
            returns them.
        path: path of the PNG file.
    """
    figure, axes = pyplot.subplots(1, len(METRICS), figsize=FIGURE_SIZE_INCHES)
    policies = list(results)
    for axis, (name, label) in zip(axes, METRICS, strict=True):
        axis.barh(policies, [results[policy][name] for policy in policies])
        axis.set_title(label, fontsize=9)
        axis.tick_params(labelsize=8)
        axis.invert_yaxis()
    _save(figure, path)


def plot_faults(records, faults, path):
    """Plot the time to the first token over a run with faults.

    Args:
        records: ``engine_policies.RequestRecord`` of each request.
        faults: ``faults.ScheduledFault`` list, marked by vertical lines.
        path: path of the PNG file.
    """
    figure, axis = pyplot.subplots(figsize=FIGURE_SIZE_INCHES)
    complete = [r for r in records if r.is_complete]
    incomplete = [r for r in records if not r.is_complete]
    axis.scatter(
        [r.arrival.offset_seconds for r in complete],
        [r.first_token_seconds * 1000 for r in complete],
        s=8,
        label='complete responses',
    )
    axis.scatter(
        [r.arrival.offset_seconds for r in incomplete],
        [0.0 for _ in incomplete],
        s=16,
        marker='x',
        color='tab:red',
        label='refused or interrupted',
    )
    for fault in faults:
        axis.axvline(fault.offset_seconds, color='grey', linewidth=0.8)
        axis.text(
            fault.offset_seconds,
            axis.get_ylim()[1],
            fault.name,
            rotation=60,
            fontsize=7,
        )
    axis.set_xlabel('seconds')
    axis.set_ylabel('ms to the first token')
    axis.legend(fontsize=8)
    _save(figure, path)


def read_results(path):
    """Return the figures that a JSON file in bench/results/ holds."""
    return json.loads(path.read_text())


def _save(figure, path):
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)
