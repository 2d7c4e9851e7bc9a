//! Names of the system's components, used as log targets.

/// Handling of requests from callers.
pub const INGRESS: &str = "ingress";
/// Forwarding of requests to backend servers.
pub const EGRESS: &str = "egress";
/// Membership of the availability zone.
pub const MEMBER: &str = "member";
/// Configuration and snapshots.
pub const CONFIG: &str = "config";
/// Acceptance of change tickets.
pub const TICKET: &str = "ticket";
/// Duties assigned to the node.
pub const DUTY: &str = "duty";
/// Traffic shifts between service versions.
pub const ROLLOUT: &str = "rollout";
/// Calls to the platform's object store.
pub const PLATFORM: &str = "platform";
/// Connections between nodes.
pub const LINK: &str = "link";
/// Start, reload and shutdown of a program.
pub const PROGRAM: &str = "program";
