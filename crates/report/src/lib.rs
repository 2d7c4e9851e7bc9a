//! Reports how fast services spend their error budgets, from the request
//! histories of nodes.

pub mod burn;
pub mod changes;
pub mod html;
pub mod objective;
mod plot;
pub mod report;
pub mod request_counts;
pub mod settings;
pub mod source;
pub mod text;

pub use objective::Objective;
pub use report::Report;
pub use settings::Options;
