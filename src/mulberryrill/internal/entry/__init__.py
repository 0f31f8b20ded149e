"""The entry program: a proxy process that routes callers' requests to targets."""
