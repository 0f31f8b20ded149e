"""Tests that block keys differ whenever cached blocks must not be shared."""

import unittest

from mulberryrill.internal.core.cachekeys import BLOCK_BYTES, compute_block_keys

PROMPT = bytes(range(256)) * (BLOCK_BYTES // 256) * 3


class CacheKeysTest(unittest.TestCase):
    def test_common_prefix_has_common_keys(self) -> None:
        keys = compute_block_keys(b"s", "c", "m", "1", PROMPT + b"rest")
        changed = PROMPT[:BLOCK_BYTES] + b"x" + PROMPT[BLOCK_BYTES + 1 :]
        other = compute_block_keys(b"s", "c", "m", "1", changed)
        self.assertEqual(len(keys), 3)
        self.assertEqual(keys[0], other[0])
        self.assertFalse(set(keys[1:]) & set(other[1:]))

    def test_keys_differ_by_customer_model_version_and_secret(self) -> None:
        """Guards against lookups that find blocks of another customer, model or version."""
        variants = [
            (b"s", "c", "m", "1"),
            (b"t", "c", "m", "1"),
            (b"s", "d", "m", "1"),
            (b"s", "c", "n", "1"),
            (b"s", "c", "m", "2"),
            (b"s", "cm", "", "1"),
        ]
        keys = [key for v in variants for key in compute_block_keys(*v, PROMPT)]
        self.assertEqual(len(keys), len(set(keys)))
