"""What VMs of two builds send each other and store is read both ways."""

import pathlib
import sys

import pytest

import builds
import format_samples
import record_formats

RECORDED = sorted(format_samples.SAMPLES.iterdir())


@pytest.mark.parametrize('folder', RECORDED, ids=lambda path: path.name)
def test_the_formats_of_an_earlier_build_are_read(folder):
    assert record_formats.check(folder) == []


@pytest.mark.parametrize('commit', [path.name for path in RECORDED])
def test_an_earlier_build_reads_the_formats_of_this_one(commit, tmp_path):
    try:
        build = builds.prepare(commit, tmp_path / 'builds')
    except builds.CommitMissing:
        pytest.skip(f'the clone lacks the commit {commit}')
    build.check_imports(sys.executable)
    samples = tmp_path / 'samples'
    record_formats.write(samples)
    script = str(pathlib.Path(record_formats.__file__))
    build.run_python(sys.executable, [script, 'check', str(samples)])


def test_this_build_reads_all_that_it_has_written(tmp_path):
    samples = tmp_path / 'samples'
    record_formats.write(samples)
    assert record_formats.check(samples, is_own=True) == []
