"""Hears signals only by the byte that wakes its loop."""

import asyncio
import sys

from lanemux.eventloop.loop import EventLoop
from lanemux.net import daemon

EventLoop.add_signal_handler = asyncio.SelectorEventLoop.add_signal_handler  # type: ignore[method-assign]
sys.exit(daemon.main())
