//! The commands `completions` and `man`.

use crate::args::Args;
use crate::error::{Error, Exit};
use clap::CommandFactory;
use clap_complete::Shell;
use std::io::Write;
use std::path::PathBuf;

/// Prints the completions of a shell.
pub(crate) fn completions(shell: Shell) -> Result<Exit, Error> {
    let mut command = Args::command();
    let name = command.get_name().to_owned();
    let mut text = Vec::new();
    clap_complete::generate(shell, &mut command, name, &mut text);
    std::io::stdout().write_all(&text)?;
    Ok(Exit::Done)
}

/// Prints the manual page, or writes all manual pages to a directory.
pub(crate) fn man(directory: Option<PathBuf>) -> Result<Exit, Error> {
    let command = Args::command();
    match directory {
        Some(directory) => clap_mangen::generate_to(command, directory)?,
        None => clap_mangen::Man::new(command).render(&mut std::io::stdout())?,
    }
    Ok(Exit::Done)
}
