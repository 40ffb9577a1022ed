"""Stand-ins that the review's scripts start beside the project's own ones."""
