"""Forwards opaque client requests, guided by typed facts about each request."""
