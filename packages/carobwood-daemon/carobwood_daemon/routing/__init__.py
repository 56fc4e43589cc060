"""Selection of an endpoint for each request."""
