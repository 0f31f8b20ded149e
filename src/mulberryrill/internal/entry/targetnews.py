"""What instances learn from targets' answers and tell each other.

Load pattern answered: a third of the engines loads new weights and refuses calls for a second. Each
instance alone would learn that from a refused call of its own, for each engine.
"""

from ..core.serving.targettable import TargetTable
from ..ids import ModelName, TargetId, WeightVersion
from ..schema.peers_pb2 import TargetNews

MS_PER_S = 1000
# Shorter rests are over when a report arrives.
MIN_REST_S = 0.02


class NewsBoard:
    """Collects what this instance learns, and takes over what others have learned."""

    def __init__(self, targets: TargetTable) -> None:
        self._targets = targets
        self._versions: dict[tuple[TargetId, ModelName], WeightVersion] = {}
        self._rests: dict[TargetId, float] = {}

    def record_version(self, target: TargetId, model: ModelName, version: WeightVersion) -> None:
        """Notes a version that a target has newly stated."""
        self._versions[target, model] = version

    def record_refusal(self, target: TargetId, rests_until: float) -> None:
        """Notes that a target refuses calls."""
        self._rests[target] = rests_until

    def take(self, now: float) -> list[TargetNews]:
        """Returns what was learned since the last call."""
        news = [
            TargetNews(target=target, model=model, version=version)
            for (target, model), version in self._versions.items()
        ]
        for target, rests_until in self._rests.items():
            if rests_until - now >= MIN_REST_S:
                rest_ms = round((rests_until - now) * MS_PER_S)
                news.append(TargetNews(target=target, rest_ms=rest_ms))
        self._versions, self._rests = {}, {}
        return news

    def apply(self, news: TargetNews, now: float) -> None:
        """Takes over what a peer has learned."""
        target = self._targets.get(TargetId(news.target))
        if target is None:
            return
        if news.model:
            target.learn_version(ModelName(news.model), WeightVersion(news.version))
        if news.rest_ms:
            target.record_refusal(now, news.rest_ms / MS_PER_S)
