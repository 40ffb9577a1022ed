"""Tests of monsoonproxy."""
