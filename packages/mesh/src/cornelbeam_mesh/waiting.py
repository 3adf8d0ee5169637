"""Waiting for the first of several events."""

import asyncio

import anyio


async def wait_for_first(*events: asyncio.Event) -> None:
    """Wait until one of the events is set."""
    async with anyio.create_task_group() as group:

        async def wait_for(event: asyncio.Event) -> None:  # noqa: WPS430
            await event.wait()
            group.cancel_scope.cancel()

        for event in events:
            group.start_soon(wait_for, event)
