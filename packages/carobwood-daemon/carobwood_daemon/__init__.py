"""The carobwood daemon, which runs on every VM of a fleet."""
