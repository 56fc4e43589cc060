"""Objects of the world that the daemon and the client share."""
