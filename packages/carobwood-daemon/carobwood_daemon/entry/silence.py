"""Times that hold for silent endpoints on all interfaces for callers."""

# Time in which another endpoint may refuse a request before the silent one is
# given up. Two endpoints that work on a request for longer are waste.
TRIAL_SECONDS = 0.3
# Time between two looks for another endpoint.
LOOK_PERIOD_SECONDS = 0.25
# Time in which endpoints that take no connection are tried again, as sound
# ones may be silent.
CONNECT_AGAIN_SECONDS = 3.0
