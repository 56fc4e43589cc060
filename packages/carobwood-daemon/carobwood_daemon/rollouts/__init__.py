"""Rollouts of new software versions of a service, step by step.

The leader of the replicated state owns all rollouts. Entry VMs report to it
what the versions have answered, and get the right to send requests to the new
version in grants that end.
"""
