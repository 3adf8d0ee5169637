"""Tests of selector matching, precedence and contradictions."""

import random
import string

import pytest
from cornelbeam_core.contradictions import can_overlap, find_contradictions
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_core.requests import RepeatRule, RequestFacts
from cornelbeam_core.selectors import SelectorIndex, SelectorSpec


def facts(service='billing', method='POST', path='/payments', **headers):
    return RequestFacts(service, method, path, headers)


class TestMatching:
    """Guards against selectors that match too many or too few requests."""

    @pytest.mark.parametrize(
        ('spec', 'is_match'),
        [
            (SelectorSpec('any'), True),
            (SelectorSpec('s', service='billing'), True),
            (SelectorSpec('s', service='intake'), False),
            (SelectorSpec('m', methods=('GET', 'POST')), True),
            (SelectorSpec('m', methods=('GET',)), False),
            (SelectorSpec('p', path_prefix='/payments'), True),
            (SelectorSpec('p', path_prefix='/pay'), False),
            (SelectorSpec('p', path_prefix='/payments/'), False),
            (SelectorSpec('h', header_equals={'desk': '1'}), True),
            (SelectorSpec('h', header_equals={'desk': '2'}), False),
            (SelectorSpec('h', header_equals={'other': '1'}), False),
        ],
    )
    def test_parts_of_the_request(self, spec, is_match):
        request = facts(desk='1')
        index = SelectorIndex.compile([spec])
        assert bool(index.route(request).selector_names) is is_match
        assert spec.matches(request) is is_match

    @pytest.mark.parametrize('path', ['/payments/7', '/payments?full=1'])
    def test_prefix_covers_paths_below_and_queries(self, path):
        spec = SelectorSpec('p', path_prefix='/payments')
        assert spec.matches(facts(path=path))

    def test_no_match_leaves_all_targets_and_decides_by_method(self):
        index = SelectorIndex.compile([SelectorSpec('o', service='intake')])
        route = index.route(facts())
        assert route.is_eligible({})
        assert not route.is_repeatable
        assert route.timeout_ms is None
        assert index.route(facts(method='GET')).is_repeatable


class TestPrecedence:
    """Guards against a selector that overrides one with precedence."""

    def test_highest_priority_hides_all_but_a_rule_against_repeating(self):
        index = SelectorIndex.compile(
            [
                SelectorSpec('low', priority=1, repeat=RepeatRule.NEVER),
                SelectorSpec(
                    'high',
                    priority=2,
                    service='billing',
                    repeat=RepeatRule.ALLOWED,
                ),
            ]
        )
        route = index.route(facts())
        assert route.selector_names == ('high',)
        assert not route.is_repeatable
        assert index.route(facts('other')).selector_names == ('low',)

    @pytest.mark.parametrize('seed', range(5))
    def test_equal_priority_applies_together_in_any_order(self, seed):
        specs = [
            SelectorSpec(
                'a',
                target_labels={'tier': ('1', '2'), 'disk': ('ssd',)},
                repeat=RepeatRule.ALLOWED,
                timeout_ms=700,
            ),
            SelectorSpec(
                'b',
                target_labels={'tier': ('2', '3')},
                repeat=RepeatRule.NEVER,
            ),
            SelectorSpec('c', timeout_ms=300),
        ]
        random.Random(seed).shuffle(specs)
        route = SelectorIndex.compile(specs).route(facts(method='GET'))
        assert route.selector_names == ('a', 'b', 'c')
        assert route.target_labels == {'tier': {'2'}, 'disk': {'ssd'}}
        assert route.is_eligible({'tier': '2', 'disk': 'ssd', 'more': '1'})
        assert not route.is_eligible({'tier': '1', 'disk': 'ssd'})
        assert not route.is_eligible({'tier': '2'})
        assert not route.is_repeatable
        assert route.timeout_ms == 300

    def test_routes_of_methods_are_kept_apart(self):
        index = SelectorIndex.compile([SelectorSpec('a')])
        assert index.route(facts(method='GET')).is_repeatable
        assert not index.route(facts(method='POST')).is_repeatable
        assert index.route(facts(method='GET')).is_repeatable

    def test_disjoint_labels_raise(self):
        index = SelectorIndex.compile(
            [
                SelectorSpec('a', target_labels={'tier': ('1',)}),
                SelectorSpec('b', target_labels={'tier': ('2',)}),
            ]
        )
        with pytest.raises(CornelbeamError) as caught:
            index.route(facts())
        assert caught.value.code is ErrorCode.CONTRADICTORY_SELECTORS
        assert 'a, b' in caught.value.detail


def _selector(name, texts, **parts):
    return SelectorSpec(name, target_labels={'tier': tuple(texts)}, **parts)


class TestContradictions:
    """Guards against accepting rules that leave a request no target."""

    def names(self, *specs):
        return [found.selector_names for found in find_contradictions(specs)]

    def test_pair(self):
        found = find_contradictions([_selector('a', '1'), _selector('b', '2')])
        assert [str(each) for each in found] == [
            'selectors a, b have one priority, can match the same request and'
            ' allow no common value of label "tier"',
        ]

    @pytest.mark.parametrize(
        'parts',
        [
            ({'priority': 1}, {'priority': 2}),
            ({'service': 'a'}, {'service': 'b'}),
            ({'methods': ('GET',)}, {'methods': ('PUT',)}),
            ({'path_prefix': '/pay'}, {'path_prefix': '/payments'}),
            ({'header_equals': {'h': '1'}}, {'header_equals': {'h': '2'}}),
        ],
    )
    def test_selectors_that_never_meet_may_differ(self, parts):
        first, second = parts
        assert not self.names(
            _selector('a', '1', **first),
            _selector('b', '2', **second),
        )

    def test_any_service_meets_each_service(self):
        found = self.names(
            _selector('a', '1'),
            _selector('b', '2', service='billing'),
            _selector('c', '1', service='intake'),
        )
        assert found == [('a', 'b')]

    def test_three_that_agree_in_pairs(self):
        found = self.names(
            _selector('a', '12'),
            _selector('b', '23'),
            _selector('c', '13'),
        )
        assert found == [('a', 'b', 'c')]

    def test_only_the_smallest_sets_are_reported(self):
        found = self.names(
            _selector('a', '12'),
            _selector('b', '1'),
            _selector('c', '2'),
        )
        assert found == [('b', 'c')]

    def test_search_is_bounded_when_many_overlap(self):
        rng = random.Random(1)
        found = self.names(
            *(
                _selector(f's{number}', rng.sample(string.digits, k=6))
                for number in range(40)
            )
        )
        assert 0 < len(found) < 200

    def test_three_without_a_common_method(self):
        assert not self.names(
            _selector('a', '12', methods=('GET', 'PUT')),
            _selector('b', '23', methods=('PUT', 'POST')),
            _selector('c', '13', methods=('GET', 'POST')),
        )

    @pytest.mark.parametrize('seed', range(30))
    def test_agrees_with_routing(self, seed):
        rng = random.Random(seed)
        specs = [
            _selector(
                f's{number}',
                rng.sample('123', k=rng.randint(1, 2)),
                priority=rng.randint(0, 1),
                methods=tuple(rng.sample(['GET', 'PUT'], k=rng.randint(0, 2))),
                path_prefix=rng.choice(['', '/a', '/a/b', '/c']),
            )
            for number in range(5)
        ]
        index = SelectorIndex.compile(specs)
        reported = {frozenset(names) for names in self.names(*specs)}
        for method in ('GET', 'PUT'):
            for path in ('/', '/a', '/a/b', '/c'):
                self.check_one(index, specs, reported, facts('x', method, path))

    def check_one(self, index, specs, reported, request):
        matching = [spec for spec in specs if spec.matches(request)]
        top = max((spec.priority for spec in matching), default=0)
        applied = {spec.name for spec in matching if spec.priority == top}
        is_reported = any(names <= applied for names in reported)
        try:
            index.route(request)
        except CornelbeamError:
            assert is_reported
        else:
            assert not is_reported

    def test_overlap_is_symmetric(self):
        first = SelectorSpec('a', header_equals={'x': '1'})
        second = SelectorSpec('b', header_equals={'x': '2', 'y': '1'})
        assert not can_overlap(first, second)
        assert not can_overlap(second, first)
