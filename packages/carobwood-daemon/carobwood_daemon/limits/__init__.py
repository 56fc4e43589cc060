"""Rate limits of customers, as token buckets shared by the fleet."""
