"""Stand-ins for tests and measurements: Object API, backend server, caller."""
