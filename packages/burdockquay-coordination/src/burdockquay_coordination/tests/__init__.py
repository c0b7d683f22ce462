"""Tests of :mod:`burdockquay_coordination`."""
