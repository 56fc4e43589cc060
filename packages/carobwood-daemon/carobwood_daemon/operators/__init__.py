"""Operators and announcing endpoints: their listener."""
