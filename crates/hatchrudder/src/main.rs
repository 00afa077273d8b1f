//! Thin shell.
fn main() {}
