"""Serves callers over HTTP: listener, credentials, forwarding, streams."""
