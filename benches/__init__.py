"""Measurements outside CI."""
