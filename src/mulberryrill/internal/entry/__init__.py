"""The entry program: one process that serves callers in front of targets."""
