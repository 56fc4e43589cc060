"""The Raft log, its storage and the replicated state machine."""
