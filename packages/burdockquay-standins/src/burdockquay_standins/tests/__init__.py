"""Tests of :mod:`burdockquay_standins`."""
