"""Typed and checked settings of the cornelbeam daemon."""
