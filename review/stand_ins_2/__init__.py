"""Small stand-ins of the platform, its databases and callers, for cases."""
