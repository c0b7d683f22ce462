"""Tests of :mod:`burdockquay_transport`."""
