"""HTTP API for operators, which also takes announcements of endpoints."""
