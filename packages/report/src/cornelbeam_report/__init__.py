"""Service-level burn report."""
