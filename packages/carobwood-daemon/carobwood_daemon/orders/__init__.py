"""Orders to engines, sent by the leader of the replicated state.

An order tells an engine to load weights or an adapter, or sets its role.
"""
