"""Stand-ins for clients, hosts, the counter and discovery, for the cases 6 to 10 of the review."""
