"""Decision logic of the entry program: routes, targets, placement, limits and orders. No I/O."""
