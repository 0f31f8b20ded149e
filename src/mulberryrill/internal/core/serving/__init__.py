"""Decisions of the entry program: routes, targets, placement, limits, orders. No I/O."""
