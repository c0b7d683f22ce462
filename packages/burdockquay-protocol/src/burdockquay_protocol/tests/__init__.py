"""Tests of :mod:`burdockquay_protocol`."""
