//! The command line of hatchrudder: a thin shell over the library crates.
#![deny(missing_docs, unsafe_code)]

use std::process::ExitCode;

mod command;
mod help;

/// Exit code of wrong use or refused settings.
const USAGE: u8 = 2;

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--version") {
        println!("hatchrudder {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let name = match arguments.subcommand() {
        Ok(name) => name.unwrap_or_default(),
        Err(error) => return wrong_use(&error.to_string()),
    };
    if arguments.contains(["-h", "--help"]) || name.is_empty() {
        println!("{}", help::of(&name));
        return if name.is_empty() && !std::env::args().any(|word| word == "--help" || word == "-h") {
            ExitCode::from(USAGE)
        } else {
            ExitCode::SUCCESS
        };
    }
    match command::run(&name, arguments) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(command::Error::Usage(text)) => wrong_use(&text),
        Err(command::Error::Failed(error)) => {
            eprintln!("hatchrudder {name}: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn wrong_use(text: &str) -> ExitCode {
    eprintln!("hatchrudder: {text}\nsee: hatchrudder --help");
    ExitCode::from(USAGE)
}
