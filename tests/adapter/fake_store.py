"""Fake of the platform's object store with faults that tests can set."""

import json

import httpx

OBJECTS_PATH = '/cornelbeam/objects/'


class FakeStore:
    """Handler for a mock HTTP transport; keeps objects by kind and name."""

    def __init__(self) -> None:
        """Start empty and without faults."""
        self.objects: dict[tuple[str, str], dict] = {}
        self.revision = 7
        # Restores from a copy; zero for a store that states no era.
        self.era = 0
        self.page_size = 100
        self.requests: list[httpx.Request] = []
        # Status that answers every request; 0 for normal answers.
        self.error_status = 0
        self.is_next_answer_lost = False
        self.has_history = True

    def put(self, kind, name, specification) -> None:
        """Write an object as an operator does; its status stays."""
        self.revision += 1
        stored = self.objects.get((kind, name))
        created = self.revision
        if stored is not None:
            created = stored['metadata']['created']
        self.objects[kind, name] = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': created,
                'finalizers': [],
                'deleting': False,
            },
            'specification': specification,
            'status': None if stored is None else stored['status'],
        }

    def put_status(self, kind, name, status) -> None:
        """Replace the status of an object."""
        self.put(kind, name, self.objects[kind, name]['specification'])
        self.objects[kind, name]['status'] = status

    def handle(self, request) -> httpx.Response:
        """Answer a request; all answers state the era."""
        response = self._answer(request)
        if self.era:
            response.headers['Store-Era'] = str(self.era)
        return response

    def _answer(self, request) -> httpx.Response:
        self.requests.append(request)
        if self.error_status:
            return httpx.Response(self.error_status)
        kind, _, name = request.url.path.removeprefix(OBJECTS_PATH).partition(
            '/'
        )
        if request.method == 'GET':
            answer = self._read(kind, request.url.params)
        else:
            answer = self._write(request, kind, name)
        if self.is_next_answer_lost:
            self.is_next_answer_lost = False
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
        if since > self.revision:
            return httpx.Response(410)
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
        expected_revision = written['metadata'].get('revision')
        name = name or written['metadata']['name']
        name, _, part = name.partition('/')
        stored = self.objects.get((kind, name))
        if request.method == 'POST' and stored is not None:
            return httpx.Response(409, json=stored)
        if request.method == 'PUT' and stored is None:
            return httpx.Response(404, json={'error': 'none'})
        if (
            expected_revision
            and stored
            and expected_revision != stored['metadata']['revision']
        ):
            return httpx.Response(409, json=stored)
        if part == 'status':
            self.put_status(kind, name, written['status'])
        else:
            self.put(kind, name, written['specification'])
        return httpx.Response(200, json=self.objects[kind, name])
