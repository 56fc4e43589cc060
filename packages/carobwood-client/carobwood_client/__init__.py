"""The command-line client for operators of a carobwood fleet."""
