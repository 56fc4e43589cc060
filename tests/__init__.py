"""Tests of carobwood."""
