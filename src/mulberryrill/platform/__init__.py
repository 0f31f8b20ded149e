"""Translates between the hosting platform's wire formats and the product's own types.

It chooses no targets: the ``internal`` package does, from the state that is reported to it.
"""
