"""Translates between the users' platform and the product. Decides nothing, keeps nothing."""
