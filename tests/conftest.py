"""Tests of whole processes and sessions across the libraries."""
