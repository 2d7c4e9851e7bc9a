//! What all callers of a host together may make it hold.

/// Memory of the smallest host that a mesh is planned for, in bytes.
pub const MIN_MEMORY: usize = 160 << 20;
/// Memory of a host whose settings do not state it, in bytes.
const DEFAULT_MEMORY: usize = 256 << 20;
/// Descriptors of a host whose settings do not state them.
const DEFAULT_DESCRIPTORS: usize = 4_096;
/// Share of the memory that callers may make the host hold, in percent. The other part is for
/// the program, the state of the mesh, and the connections to other nodes.
const MEMORY_SHARE_PERCENT: usize = 40;
/// Share of that bound that is for connections, in percent; the other part is for bytes.
const CONNECTION_SHARE_PERCENT: usize = 25;
/// Memory of a connection, in bytes: its read buffer of 8 KB, its state and its task.
const CONNECTION_LEN: usize = 16 << 10;
/// Descriptors that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;
/// Share of the other descriptors that is left for the sockets of the node itself, in percent.
const OWN_SHARE_PERCENT: usize = 25;
/// Connections for the platform and the backend server of the host, which need a few each.
const HOST_CONNECTIONS: usize = 32;
/// Memory for what they send, in bytes. Heartbeats are far shorter.
const HOST_MEMORY: usize = 1 << 20;
/// Fewest connections that a host accepts, however small it is.
const MIN_CONNECTIONS: usize = 16;

/// Resources of the machine of a host, as its settings state them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostResources {
    /// Memory, in bytes.
    pub memory: usize,
    /// Number of descriptors.
    pub descriptors: usize,
}

impl Default for HostResources {
    fn default() -> Self {
        Self {
            memory: DEFAULT_MEMORY,
            descriptors: DEFAULT_DESCRIPTORS,
        }
    }
}

impl HostResources {
    /// Whether the host has less memory than a mesh is planned for.
    pub fn is_too_small(&self) -> bool {
        self.memory < MIN_MEMORY
    }
}

/// What all callers of a host together may make it hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerBounds {
    /// Heads, bodies and responses, in bytes.
    pub memory: usize,
    /// Open connections.
    pub connections: usize,
}

impl CallerBounds {
    /// The bounds of a host with `resources`.
    pub fn of(resources: HostResources) -> Self {
        let memory = resources.memory / 100 * MEMORY_SHARE_PERCENT;
        let for_connections = memory / 100 * CONNECTION_SHARE_PERCENT;
        let sockets = resources.descriptors.saturating_sub(FILE_DESCRIPTORS);
        let by_sockets = sockets * (100 - OWN_SHARE_PERCENT) / 100;
        let connections = by_sockets.min(for_connections / CONNECTION_LEN);
        Self {
            memory: memory - for_connections,
            connections: connections.max(MIN_CONNECTIONS),
        }
    }

    /// Splits off the bounds for the platform and the backend server of the host: a host that is
    /// full of callers still answers health checks and heartbeats.
    pub fn split_off_host(&mut self) -> Self {
        let host = Self {
            memory: HOST_MEMORY.min(self.memory / 8),
            connections: HOST_CONNECTIONS.min(self.connections / 4),
        };
        self.memory -= host.memory;
        self.connections -= host.connections;
        host
    }
}

impl Default for CallerBounds {
    fn default() -> Self {
        Self::of(HostResources::default())
    }
}
