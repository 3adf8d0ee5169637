"""Configuration objects, their versions and the way they spread.

Each daemon holds all configuration objects. A new object is pushed to a few
random peers by each daemon that accepts it; pings and acks carry the revision
up to which a daemon is complete, and one that is behind pulls what it lacks.
"""

import bisect
import hashlib
import random
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, replace
from typing import Final, final

# Pushing to 3 peers reached 86% to 88% of 15,000 daemons (docs/membership.md);
# pulls repair the rest.
PUSH_FANOUT: Final = 3
# A batch leaves room for the other fields in a frame of 256 KiB.
MAX_BATCH_BYTES: Final = 131_072
# Larger batches are repairs after an outage. Each daemon pulls them itself.
MAX_PUSHED_BYTES: Final = 16_384
# A pull without an answer for this time is given up, and another peer asked.
PULL_TIMEOUT_S: Final = 2.0
# Bytes of an encoded object besides its name, kind and spec.
_OBJECT_OVERHEAD_BYTES: Final = 48
_DIGEST_BYTES: Final = 8


@final
@dataclass(frozen=True, slots=True)
class ConfigObject:
    """One version of a configuration object, or the tombstone of one.

    ``version`` counts the writes of this object and ``revision`` those of the
    whole store. Both only grow, also across a deletion.
    """

    kind: str
    name: str
    version: int
    revision: int
    is_deleted: bool
    spec: bytes

    @property
    def key(self) -> tuple[str, str]:
        """Kind and name, which identify the object."""
        return self.kind, self.name

    @property
    def size_bytes(self) -> int:
        """Approximate encoded size."""
        return (
            len(self.kind)
            + len(self.name)
            + len(self.spec)
            + _OBJECT_OVERHEAD_BYTES
        )


@final
@dataclass(frozen=True, slots=True)
class ConfigBatch:
    """Objects together with the range of revisions that they cover.

    The sender states that every object whose last write lies above
    ``since_revision`` and not above ``up_to_revision`` is among ``objects``.
    A batch that covers nothing has two equal revisions. ``has_more`` tells
    the peer that pulled to ask at once for the next part.
    """

    objects: tuple[ConfigObject, ...]
    since_revision: int
    up_to_revision: int
    has_more: bool = False

    @property
    def size_bytes(self) -> int:
        """Approximate encoded size."""
        return sum(each.size_bytes for each in self.objects)


@final
@dataclass(frozen=True, slots=True)
class PushConfig:
    """Send a batch to a peer."""

    peer: str
    batch: ConfigBatch


@final
@dataclass(frozen=True, slots=True)
class PullConfig:
    """Ask a peer for everything after a revision."""

    peer: str
    since_revision: int


ConfigAction = PushConfig | PullConfig


@final
@dataclass(frozen=True, slots=True)
class BatchResult:
    """What a batch changed.

    ``accepted`` are the objects that are now in force, ``has_gap`` tells that
    the batch continues from a revision that has not been reached.
    """

    accepted: tuple[ConfigObject, ...]
    has_gap: bool
    is_advanced: bool


@final
class ConfigurationState:
    """Objects in force by kind and name.

    ``revision`` is the highest one up to which nothing is missing: each
    object whose last write is at or below it is held.

    >>> state = ConfigurationState()
    >>> first = ConfigObject('labels', 'yard-1', 1, 1, False, b'{}')
    >>> state.apply_batch(ConfigBatch((first,), 0, 1)).is_advanced
    True
    >>> state.revision
    1
    """

    __slots__ = (
        '_conflict_count',
        '_digest',
        '_kinds',
        '_log',
        '_objects',
        '_revision',
    )

    def __init__(self) -> None:
        """Start without objects, at revision 0."""
        self._objects: dict[tuple[str, str], ConfigObject] = {}
        # The same objects by kind, since the few introducers objects are
        # looked for several times a second among thousands of others.
        self._kinds: dict[str, dict[str, ConfigObject]] = {}
        self._log: list[tuple[int, str, str]] = []
        self._revision = 0
        self._digest = 0
        self._conflict_count = 0

    @property
    def revision(self) -> int:
        """Revision up to which nothing is missing; carried in pings."""
        return self._revision

    @property
    def digest(self) -> str:
        """Hexadecimal digest of all objects, independent of their order."""
        return f'{self._digest:016x}'

    @property
    def conflict_count(self) -> int:
        """Number of objects refused for an equal version, other content."""
        return self._conflict_count

    def find(self, kind: str, name: str) -> ConfigObject | None:
        """Give the object in force, None if it is unknown or deleted."""
        held = self._objects.get((kind, name))
        return None if held is None or held.is_deleted else held

    def objects(self, kind: str | None = None) -> Iterator[ConfigObject]:
        """Give the objects in force, tombstones left out."""
        known: Iterable[ConfigObject] = self._objects.values()
        if kind is not None:
            known = self._kinds.get(kind, {}).values()
        return (held for held in known if not held.is_deleted)

    def apply(self, candidate: ConfigObject) -> bool:
        """Put an object in force unless its version or a later one is held.

        An equal version never replaces, whatever its content. The revision of
        this state does not change: a single object says nothing about others.
        """
        held = self._objects.get(candidate.key)
        if held is not None and candidate.version <= held.version:
            is_conflict = candidate.version == held.version
            if is_conflict and candidate != held:
                self._conflict_count += 1
            return False
        if held is not None:
            self._digest ^= _hash_object(held)
        self._digest ^= _hash_object(candidate)
        self._objects[candidate.key] = candidate
        self._kinds.setdefault(candidate.kind, {})[candidate.name] = candidate
        bisect.insort(self._log, (candidate.revision, *candidate.key))
        self._compact_log()
        return True

    def apply_batch(self, batch: ConfigBatch) -> BatchResult:
        """Apply all objects and advance the revision if there is no gap."""
        accepted = tuple(each for each in batch.objects if self.apply(each))
        has_gap = batch.since_revision > self._revision
        is_advanced = not has_gap and batch.up_to_revision > self._revision
        if is_advanced:
            self._revision = batch.up_to_revision
        return BatchResult(accepted, has_gap, is_advanced)

    def changes_since(
        self,
        revision: int,
        max_bytes: int = MAX_BATCH_BYTES,
    ) -> ConfigBatch:
        """Give the next part of what changed after a revision.

        The batch holds at least one object if there is any. It covers the
        revisions up to its last object if ``max_bytes`` cut it, else all up
        to the revision of this state. Objects beyond that revision, received
        across a gap, are included only in the part that reaches it.
        """
        chosen: list[ConfigObject] = []
        size_bytes = 0
        for held in self._held_since(revision):
            if chosen and size_bytes + held.size_bytes > max_bytes:
                up_to = min(chosen[-1].revision, self._revision)
                return ConfigBatch(tuple(chosen), revision, up_to, True)
            chosen.append(held)
            size_bytes += held.size_bytes
        up_to = max(revision, self._revision)
        return ConfigBatch(tuple(chosen), revision, up_to)

    def _held_since(self, revision: int) -> Iterator[ConfigObject]:
        start = bisect.bisect_left(self._log, (revision + 1, '', ''))
        for logged_revision, kind, name in self._log[start:]:
            held = self._objects[kind, name]
            if held.revision == logged_revision:
                yield held

    def _compact_log(self) -> None:
        # Replaced entries stay in the log until they outnumber the objects,
        # so that a change costs the same however many objects there are.
        if len(self._log) <= 2 * len(self._objects) + 1:
            return
        self._log = sorted(
            (held.revision, *held.key) for held in self._objects.values()
        )


@final
class ConfigurationGossip:
    """Decides which batches go to which peers.

    Peers are named by their address. At most one pull is outstanding, so
    that a daemon that was away does not fetch the same objects many times.
    """

    __slots__ = ('_pull_until_s', '_pulled_peer', '_state')

    def __init__(self, state: ConfigurationState) -> None:
        """Decide for the given state, which stays owned by the caller."""
        self._state = state
        self._pulled_peer = ''
        self._pull_until_s: float = 0

    def on_store_batch(
        self,
        batch: ConfigBatch,
        peers: Sequence[str],
        rng: random.Random,
    ) -> tuple[BatchResult, tuple[ConfigAction, ...]]:
        """Apply what the store answered to a relay; push what is new.

        The relay sets ``since_revision`` to the revision it asked from and
        ``up_to_revision`` to the one that the store answered.
        """
        changed = self._state.apply_batch(batch)
        return changed, tuple(self._plan_push(changed, batch, '', peers, rng))

    def on_push(
        self,
        batch: ConfigBatch,
        sender: str,
        peers: Sequence[str],
        now_s: float,
        rng: random.Random,
    ) -> tuple[BatchResult, tuple[ConfigAction, ...]]:
        """Apply what a peer sent, pass it on, and pull if there is a gap."""
        changed = self._state.apply_batch(batch)
        actions: list[ConfigAction] = list(
            self._plan_push(changed, batch, sender, peers, rng),
        )
        is_answer = changed.is_advanced and sender == self._pulled_peer
        if is_answer:
            self._pull_until_s = 0
        if changed.has_gap or (is_answer and batch.has_more):
            actions.extend(self._plan_pull(sender, now_s))
        return changed, tuple(actions)

    def on_peer_revision(
        self,
        peer: str,
        revision: int,
        now_s: float,
    ) -> tuple[ConfigAction, ...]:
        """Pull from a peer whose ping or ack shows that it has more."""
        if revision <= self._state.revision:
            return ()
        return tuple(self._plan_pull(peer, now_s))

    def on_pull(
        self,
        peer: str,
        since_revision: int,
    ) -> tuple[ConfigAction, ...]:
        """Answer a peer's pull with the next part of what it lacks."""
        batch = self._state.changes_since(since_revision)
        if batch.up_to_revision <= since_revision and not batch.objects:
            return ()
        return (PushConfig(peer, batch),)

    def _plan_push(
        self,
        changed: BatchResult,
        batch: ConfigBatch,
        sender: str,
        peers: Sequence[str],
        rng: random.Random,
    ) -> Iterator[PushConfig]:
        # The whole batch is passed on, since a part of it would not cover
        # the revisions that it states.
        if not changed.accepted or batch.size_bytes > MAX_PUSHED_BYTES:
            return
        news = replace(batch, has_more=False)
        others = [peer for peer in peers if peer != sender]
        for peer in rng.sample(others, min(PUSH_FANOUT, len(others))):
            yield PushConfig(peer, news)

    def _plan_pull(self, peer: str, now_s: float) -> Iterator[PullConfig]:
        if now_s < self._pull_until_s:
            return
        self._pulled_peer = peer
        self._pull_until_s = now_s + PULL_TIMEOUT_S
        yield PullConfig(peer, self._state.revision)


def _hash_object(held: ConfigObject) -> int:
    head = f'{held.kind}/{held.name}/{held.version}/{held.is_deleted}'
    hasher = hashlib.blake2b(head.encode(), digest_size=_DIGEST_BYTES)
    hasher.update(held.spec)
    return int.from_bytes(hasher.digest(), 'big')
