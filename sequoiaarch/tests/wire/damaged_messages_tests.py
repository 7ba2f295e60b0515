"""Test that damaged messages of peers and damaged records raise nothing."""

from __future__ import annotations

import inspect
import random
import unittest
import warnings

import msgspec
from hypothesis import HealthCheck, given, settings, strategies as st

from ...ledger import records
from ...wire import messages

SAMPLES_OF_EACH = 4
DAMAGED = 20_000
DECODERS = (messages.decode_request, messages.decode_reply, records.decode_record)


def sample_messages() -> list[bytes]:
    """Return encoded messages and records with random fields."""
    samples: list[bytes] = []
    kinds = [
        kind
        for module in (messages, records)
        for kind in vars(module).values()
        if inspect.isclass(kind) and issubclass(kind, msgspec.Struct)
    ]

    @settings(
        max_examples=SAMPLES_OF_EACH * len(kinds),
        database=None,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.sampled_from(kinds).flatmap(st.from_type))
    def add(message: msgspec.Struct) -> None:
        # Hypothesis passes the factories of some defaults, and integers that are too
        # large for the encoding.
        try:
            samples.append(msgspec.msgpack.encode(message))
        except (TypeError, OverflowError):
            return

    with warnings.catch_warnings():
        warnings.simplefilter("ignore")
        add()
    return samples


def damage(rng: random.Random, data: bytes) -> bytes:
    """Return the data with some bytes replaced, added or left out."""
    damaged = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        position = rng.randrange(len(damaged) + 1)
        removed = rng.randint(0, 4)
        added = rng.randbytes(rng.randint(0, 2))
        damaged[position : position + removed] = added
    return bytes(damaged)


class DamagedMessagesTests(unittest.TestCase):
    """Decode what other processes write, with damage."""

    def test_damaged_messages(self) -> None:
        """Guards against a reader that ends with a message that it can't decode."""
        samples = sample_messages()
        self.assertGreater(len(samples), len(DECODERS))
        rng = random.Random(1)
        for _ in range(DAMAGED):
            data = damage(rng, rng.choice(samples))
            for decode in DECODERS:
                decode(data)
