"""Choice of an endpoint."""
