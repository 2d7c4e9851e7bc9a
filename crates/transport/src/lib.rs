//! QUIC endpoints with mutual TLS between nodes.
