"""The daemon that runs on every VM."""
