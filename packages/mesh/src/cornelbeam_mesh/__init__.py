"""The daemon for routes by host and path."""
