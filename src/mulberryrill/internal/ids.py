"""Identifier types and enumerations shared by all layers."""

import uuid
from enum import Enum
from typing import NewType

InstanceId = NewType("InstanceId", str)
GatewayId = NewType("GatewayId", str)
DataCentre = NewType("DataCentre", str)
TargetId = NewType("TargetId", str)
Incarnation = NewType("Incarnation", str)
ServiceName = NewType("ServiceName", str)
CustomerName = NewType("CustomerName", str)
PoolName = NewType("PoolName", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
ClaimId = NewType("ClaimId", str)
Offset = NewType("Offset", int)
# Number of times that the platform's store has come back from an older copy.
StoreEra = NewType("StoreEra", int)
# Grows with each holder of the order lease.
FencingToken = NewType("FencingToken", int)
ModelName = NewType("ModelName", str)
WeightVersion = NewType("WeightVersion", int)
# Version of a target's own software, not of its weights.
SoftwareVersion = NewType("SoftwareVersion", str)
PartId = NewType("PartId", str)


class Executed(Enum):
    """What is known about whether a request ran on a target."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


def create_id(prefix: str) -> str:
    """Returns a new random identifier such as ``req-3f2a...``."""
    return f"{prefix}-{uuid.uuid4().hex}"
