"""Simulated backend servers and platform, for tests and experiments."""
