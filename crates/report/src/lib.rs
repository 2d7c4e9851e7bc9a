//! Reports how fast services spend their error budgets, from the request
//! histories of nodes.

pub mod burn;
pub mod changes;
pub mod html;
pub mod objective;
mod plot;
pub mod report;
pub mod settings;
pub mod source;
pub mod tally;
pub mod text;

pub use objective::Objective;
pub use report::Report;
pub use settings::Options;
