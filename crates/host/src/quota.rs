//! Quotas of organisations over all hosts: tokens that are conserved and expire.
//!
//! Each host mints its part of the tokens of an organisation, one token admits one request,
//! and a token expires a fixed time after it was minted, wherever it is. A [`Pool`] on one
//! host collects the tokens that hosts do not need and grants them to hosts that do. A host
//! may overdraw by a few requests while tokens are known to be plentiful.
//!
//! In a window `W` no more than `rate * (W + lifetime)` requests are admitted, plus the
//! overdrafts of all hosts, whatever hosts know of each other and whichever messages
//! are lost, repeated or late: tokens are only ever moved or destroyed, and the
//! age of a token is estimated upwards when it moves. `docs/design/quotas.md` has the details.

pub mod account;
pub mod accounts;
mod demand;
pub mod message;
pub mod pool;
mod purse;
pub mod roster;
pub mod terms;

pub use account::Account;
pub use accounts::{Accounts, Exchange};
pub use message::{ExchangeReply, ExchangeRequest, Supply, TableTag};
pub use pool::Pool;
pub use purse::{Batch, Purse};
pub use roster::Roster;
pub use terms::{Entry, Table, Terms, Tolerance};
