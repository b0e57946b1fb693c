"""The inner protocol between nodes: websockets with CBOR."""

__all__: list[str] = []
