"""Forwards requests that stay opaque, by the typed facts that stand beside them."""
