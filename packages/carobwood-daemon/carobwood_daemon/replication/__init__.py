"""Replicated state: log, election, snapshots and state machines."""
