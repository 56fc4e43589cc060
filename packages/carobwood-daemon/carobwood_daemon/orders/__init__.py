"""Orders to engines, sent by the leader."""
