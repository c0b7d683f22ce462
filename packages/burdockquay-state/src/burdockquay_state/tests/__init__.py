"""Tests of :mod:`burdockquay_state`."""
