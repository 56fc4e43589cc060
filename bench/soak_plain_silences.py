"""Silences of the endpoints of the plain service in a soak."""

# Kind of fault that makes them occur.
KIND = 'plain-silence'
SILENCE_SECONDS = (0.5, 2.5)
PERIOD_SECONDS = (1.0, 4.0)
ALL_SILENT_SHARE = 0.4


class PlainSilences:
    """Makes plain endpoints silent, one or all, until the end of a run."""

    def __init__(self, site, rng):
        """Create the silences of a ``Site`` from random numbers."""
        self._site = site
        self._rng = rng

    def run(self):
        """Make endpoints silent until the end of the run."""
        while not self._site.stopped.wait(self._rng.uniform(*PERIOD_SECONDS)):
            endpoints = self._site.plain_endpoints
            if self._rng.random() > ALL_SILENT_SHARE:
                endpoints = [self._rng.choice(endpoints)]
            self._site.silence(endpoints, self._rng.uniform(*SILENCE_SECONDS))
