"""Translates between the hosting platform's wire formats and the product's own types."""
