"""Stand-ins for backend servers and the platform, load and experiments."""
