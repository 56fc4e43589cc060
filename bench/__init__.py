"""Stand-ins and measurements; not part of the product."""
