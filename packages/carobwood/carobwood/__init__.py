"""Data types and services that the daemon and the client share."""
