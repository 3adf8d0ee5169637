"""Tests of whole processes and of sessions across the packages."""
