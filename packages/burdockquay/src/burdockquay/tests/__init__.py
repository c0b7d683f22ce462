"""Tests of :mod:`burdockquay`."""
