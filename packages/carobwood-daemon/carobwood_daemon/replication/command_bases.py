"""Bases of the commands of the replicated log and of their results."""

import msgspec


class Command(msgspec.Struct, frozen=True, tag=True):
    """Base of all commands."""


class Result(msgspec.Struct, frozen=True, tag=True):
    """Base of all results."""
