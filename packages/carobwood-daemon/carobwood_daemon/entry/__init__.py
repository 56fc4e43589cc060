"""Callers: listeners, credentials, streams and services."""
