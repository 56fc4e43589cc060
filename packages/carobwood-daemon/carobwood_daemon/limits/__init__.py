"""Customers' rate and burst."""
