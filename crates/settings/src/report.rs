//! Error output and exit code for the `main` function of a program.

use crate::error::Errors;
use std::process::ExitCode;

/// Exit code of a program whose settings are invalid.
pub const EXIT_BAD_SETTINGS: u8 = 2;

/// Prints the errors to standard error and returns the exit code for them.
pub fn print_errors(errors: &Errors) -> ExitCode {
    for e in &errors.0 {
        eprintln!("{e}");
    }
    ExitCode::from(EXIT_BAD_SETTINGS)
}
