"""Tests of the carobwood packages and of the platform adapter."""
