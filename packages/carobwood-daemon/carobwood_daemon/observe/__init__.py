"""Tracing, metrics and logging."""
