"""Relaying of opaque requests by routes of the operators' configuration."""
