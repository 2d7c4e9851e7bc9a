//! Parts of the system, used as log targets.

/// Requests from callers.
pub const INGRESS: &str = "ingress";
/// Requests to backend servers.
pub const EGRESS: &str = "egress";
/// Membership of the availability zone.
pub const MEMBER: &str = "member";
/// Configuration and snapshots.
pub const CONFIG: &str = "config";
/// Change tickets.
pub const TICKET: &str = "ticket";
/// Duty leases.
pub const DUTY: &str = "duty";
/// Rollouts.
pub const ROLLOUT: &str = "rollout";
/// Calls to the platform.
pub const PLATFORM: &str = "platform";
/// Links between nodes.
pub const LINK: &str = "link";
/// Start and end of a program.
pub const PROGRAM: &str = "program";
