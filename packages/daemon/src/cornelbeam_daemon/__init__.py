"""The cornelbeam daemon that runs beside a backend server."""
