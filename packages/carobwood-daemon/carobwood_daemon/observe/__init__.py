"""Traces, metrics and log set-up."""
