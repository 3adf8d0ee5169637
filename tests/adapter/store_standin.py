"""The platform's store as its users publish it, with its faults."""

import json

import httpx

BASE = '/cornelbeam/objects/'


class StoreStandIn:
    """Objects by kind and name behind an HTTP transport."""

    def __init__(self) -> None:
        """Start empty; faults are set by tests."""
        self.objects: dict[tuple[str, str], dict] = {}
        self.revision = 7
        self.page_size = 100
        self.calls: list[httpx.Request] = []
        # Status to refuse every call with.
        self.refuses_with = 0
        self.loses_next_answer = False
        self.has_history = True

    def put(self, kind, name, specification) -> None:
        """Write as an operator does."""
        self.revision += 1
        self.objects[kind, name] = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': self.revision,
                'finalizers': [],
                'deleting': False,
            },
            'specification': specification,
            'status': None,
        }

    def handle(self, request) -> httpx.Response:
        """Answer a call."""
        self.calls.append(request)
        if self.refuses_with:
            return httpx.Response(self.refuses_with)
        kind, _, name = request.url.path.removeprefix(BASE).partition('/')
        if request.method == 'GET':
            answer = self._read(kind, request.url.params)
        else:
            answer = self._write(request, kind, name)
        if self.loses_next_answer:
            self.loses_next_answer = False
            raise httpx.ReadError('the answer was lost')
        return answer

    def _read(self, kind, query) -> httpx.Response:
        found = [
            self.objects[key] for key in sorted(self.objects) if key[0] == kind
        ]
        if 'watch' not in query:
            return self._list(found, query.get('after', ''))
        if not self.has_history:
            return httpx.Response(410)
        since = int(query['watch'])
        events = [
            {'object': each, 'deleted': False}
            for each in found
            if each['metadata']['revision'] > since
        ]
        return httpx.Response(
            200,
            json={'events': events, 'current_rev': self.revision},
        )

    def _list(self, found, after) -> httpx.Response:
        rest = [each for each in found if each['metadata']['name'] > after]
        return httpx.Response(
            200,
            json={
                'items': rest[: self.page_size],
                'has_more': len(rest) > self.page_size,
                'current_rev': self.revision,
            },
        )

    def _write(self, request, kind, name) -> httpx.Response:
        written = json.loads(request.content)
        stated = written['metadata'].get('revision')
        name = name or written['metadata']['name']
        held = self.objects.get((kind, name))
        if request.method == 'POST' and held is not None:
            return httpx.Response(409, json=held)
        if request.method == 'PUT' and held is None:
            return httpx.Response(404, json={'error': 'none'})
        if stated and held and stated != held['metadata']['revision']:
            return httpx.Response(409, json=held)
        self.put(kind, name, written['specification'])
        return httpx.Response(200, json=self.objects[kind, name])
