"""Guards against idle connections that fill the memory account.

Idle connections are not chosen for memory. On a machine with many descriptors for its memory a
crowd of them filled the account, and every new connection was closed at once.
"""

import unittest

from mulberryrill.internal.core.memoryaccount import HolderState, MemoryAccount, compute_limits

MEMORY_BYTES = 128 * 1_048_576
REQUEST_BYTES = 9_000_000


class IdleClientsTest(unittest.TestCase):
    def test_new_client_is_served_on_a_machine_with_many_descriptors(self) -> None:
        account: MemoryAccount[str] = MemoryAccount(compute_limits(MEMORY_BYTES, 1_048_576))
        for number in range(8_000):
            for victim in account.open(f"idle {number}", float(number)):
                account.remove(victim)
        victims = account.open("new", 9_000.0)
        self.assertEqual(len(victims), 1)
        self.assertNotIn("new", victims)
        account.remove(victims[0])
        victims = account.update("new", REQUEST_BYTES, HolderState.RECEIVING, 9_000.0)
        self.assertEqual(victims, [])
