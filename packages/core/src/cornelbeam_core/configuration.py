"""Configuration objects, their versions and their dissemination by gossip.

Every daemon stores all configuration objects. A daemon that accepts a new
object pushes it to a few random peers. Pings and acks carry the revision up to
which a daemon is complete; a daemon that is behind pulls the missing objects.
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
# Leaves room for the other fields in a frame of 256 KiB.
MAX_BATCH_BYTES: Final = 131_072
# Larger batches are repairs after an outage. They are not pushed; each daemon
# pulls them itself.
MAX_PUSHED_BYTES: Final = 16_384
# After this time without an answer, another peer may be pulled from.
PULL_TIMEOUT_S: Final = 2.0
# Estimated bytes of an encoded object besides its kind, name and spec.
_OBJECT_OVERHEAD_BYTES: Final = 48
_DIGEST_BYTES: Final = 8


@final
@dataclass(frozen=True, slots=True)
class ConfigObject:
    """One version of a configuration object, which may be a tombstone.

    ``version`` counts the writes to this object and ``revision`` the writes to
    the whole store. Both only increase, even across a deletion.
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

    ``objects`` contains every object last written after ``since_revision``
    and no later than ``up_to_revision``. The two revisions are equal if the
    batch covers none. ``has_more`` tells the pulling peer to request the next
    part immediately.
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
    """Request all changes after a revision from a peer."""

    peer: str
    since_revision: int


ConfigAction = PushConfig | PullConfig


@final
@dataclass(frozen=True, slots=True)
class BatchResult:
    """Effect of applying a batch.

    ``accepted`` holds the objects that were new or newer. ``has_gap`` is set
    if the batch starts after the revision that this state has reached.
    """

    accepted: tuple[ConfigObject, ...]
    has_gap: bool
    is_advanced: bool


@final
class ConfigurationState:
    """Current configuration objects by kind and name.

    ``revision`` is the highest revision up to which the state is complete: it
    includes every object whose last write is at or below that revision.

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
        '_kind_index',
        '_log',
        '_objects',
        '_revision',
    )

    def __init__(self) -> None:
        """Create an empty state at revision 0."""
        self._objects: dict[tuple[str, str], ConfigObject] = {}
        # Indexed by kind as well, because the few introducers objects are
        # looked up several times a second among thousands of others.
        self._kind_index: dict[str, dict[str, ConfigObject]] = {}
        self._log: list[tuple[int, str, str]] = []
        self._revision = 0
        self._digest = 0
        self._conflict_count = 0

    @property
    def revision(self) -> int:
        """Revision up to which the state is complete; sent in pings."""
        return self._revision

    @property
    def digest(self) -> str:
        """Hexadecimal digest of all objects, regardless of their order."""
        return f'{self._digest:016x}'

    @property
    def conflict_count(self) -> int:
        """Number of rejected objects with a known version but other content."""
        return self._conflict_count

    def find(self, kind: str, name: str) -> ConfigObject | None:
        """Return the object, or None if it is unknown or deleted."""
        current = self._objects.get((kind, name))
        return None if current is None or current.is_deleted else current

    def objects(self, kind: str | None = None) -> Iterator[ConfigObject]:
        """Iterate over the objects of a kind, or all, without tombstones."""
        known: Iterable[ConfigObject] = self._objects.values()
        if kind is not None:
            known = self._kind_index.get(kind, {}).values()
        return (current for current in known if not current.is_deleted)

    def apply(self, candidate: ConfigObject) -> bool:
        """Store an object and return whether it is newer than the known one.

        An equal version is never replaced, even if the content differs. The
        revision of this state does not change, because a single object does
        not show whether others are missing.
        """
        current = self._objects.get(candidate.key)
        if current is not None and candidate.version <= current.version:
            is_conflict = candidate.version == current.version
            if is_conflict and candidate != current:
                self._conflict_count += 1
            return False
        if current is not None:
            self._digest ^= _digest_object(current)
        self._digest ^= _digest_object(candidate)
        self._objects[candidate.key] = candidate
        self._kind_index.setdefault(candidate.kind, {})[candidate.name] = (
            candidate
        )
        bisect.insort(self._log, (candidate.revision, *candidate.key))
        self._compact_log()
        return True

    def apply_batch(self, batch: ConfigBatch) -> BatchResult:
        """Apply all objects; advance the revision unless there is a gap."""
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
        """Return the next batch of changes after a revision.

        The batch contains at least one object if there are any changes. It
        covers the revisions up to its last object if ``max_bytes`` truncated
        it, and otherwise up to the revision of this state. Objects beyond
        that revision, received across a gap, are included only in the batch
        that reaches it.
        """
        chosen: list[ConfigObject] = []
        size_bytes = 0
        for current in self._objects_since(revision):
            if chosen and size_bytes + current.size_bytes > max_bytes:
                up_to = min(chosen[-1].revision, self._revision)
                return ConfigBatch(tuple(chosen), revision, up_to, True)
            chosen.append(current)
            size_bytes += current.size_bytes
        up_to = max(revision, self._revision)
        return ConfigBatch(tuple(chosen), revision, up_to)

    def _objects_since(self, revision: int) -> Iterator[ConfigObject]:
        start = bisect.bisect_left(self._log, (revision + 1, '', ''))
        for logged_revision, kind, name in self._log[start:]:
            current = self._objects[kind, name]
            if current.revision == logged_revision:
                yield current

    def _compact_log(self) -> None:
        # Stale entries stay until they outnumber the objects, so that the cost
        # of a change does not depend on the number of objects.
        if len(self._log) <= 2 * len(self._objects) + 1:
            return
        self._log = sorted(
            (current.revision, *current.key)
            for current in self._objects.values()
        )


@final
class ConfigurationGossip:
    """Gossip protocol that exchanges configuration batches with peers.

    Peers are identified by address. At most one pull is outstanding, so that
    a daemon that was disconnected does not fetch the same objects repeatedly.
    """

    __slots__ = ('_pull_deadline_s', '_pulled_peer', '_state')

    def __init__(self, state: ConfigurationState) -> None:
        """Create the protocol for a state that the caller owns."""
        self._state = state
        self._pulled_peer = ''
        self._pull_deadline_s: float = 0

    def on_store_batch(
        self,
        batch: ConfigBatch,
        peers: Sequence[str],
        rng: random.Random,
    ) -> tuple[BatchResult, tuple[ConfigAction, ...]]:
        """Apply a batch that a relay read from the store; push new objects.

        The relay sets ``since_revision`` to the revision it requested changes
        since and ``up_to_revision`` to the revision that the store returned.
        """
        result = self._state.apply_batch(batch)
        return result, tuple(self._plan_push(result, batch, '', peers, rng))

    def on_push(
        self,
        batch: ConfigBatch,
        sender: str,
        peers: Sequence[str],
        now_s: float,
        rng: random.Random,
    ) -> tuple[BatchResult, tuple[ConfigAction, ...]]:
        """Apply a batch from a peer, push it on, and pull if there is a gap."""
        result = self._state.apply_batch(batch)
        actions: list[ConfigAction] = list(
            self._plan_push(result, batch, sender, peers, rng),
        )
        is_answer = result.is_advanced and sender == self._pulled_peer
        if is_answer:
            self._pull_deadline_s = 0
        if result.has_gap or (is_answer and batch.has_more):
            actions.extend(self._plan_pull(sender, now_s))
        return result, tuple(actions)

    def on_peer_revision(
        self,
        peer: str,
        revision: int,
        now_s: float,
    ) -> tuple[ConfigAction, ...]:
        """Pull from a peer whose ping or ack shows a later revision."""
        if revision <= self._state.revision:
            return ()
        return tuple(self._plan_pull(peer, now_s))

    def on_pull(
        self,
        peer: str,
        since_revision: int,
    ) -> tuple[ConfigAction, ...]:
        """Answer a pull with the next batch that the peer is missing."""
        batch = self._state.changes_since(since_revision)
        if batch.up_to_revision <= since_revision and not batch.objects:
            return ()
        return (PushConfig(peer, batch),)

    def _plan_push(
        self,
        result: BatchResult,
        batch: ConfigBatch,
        sender: str,
        peers: Sequence[str],
        rng: random.Random,
    ) -> Iterator[PushConfig]:
        # Push the whole batch: a part of it would not cover the range of
        # revisions that the batch claims.
        if not result.accepted or batch.size_bytes > MAX_PUSHED_BYTES:
            return
        forwarded = replace(batch, has_more=False)
        others = [peer for peer in peers if peer != sender]
        for peer in rng.sample(others, min(PUSH_FANOUT, len(others))):
            yield PushConfig(peer, forwarded)

    def _plan_pull(self, peer: str, now_s: float) -> Iterator[PullConfig]:
        if now_s < self._pull_deadline_s:
            return
        self._pulled_peer = peer
        self._pull_deadline_s = now_s + PULL_TIMEOUT_S
        yield PullConfig(peer, self._state.revision)


def _digest_object(obj: ConfigObject) -> int:
    head = f'{obj.kind}/{obj.name}/{obj.version}/{obj.is_deleted}'
    hasher = hashlib.blake2b(head.encode(), digest_size=_DIGEST_BYTES)
    hasher.update(obj.spec)
    return int.from_bytes(hasher.digest(), 'big')
