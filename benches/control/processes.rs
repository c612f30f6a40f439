//! Time from publishing a file to its being in force on 8 processes.

/// Runs the part.
pub fn run() {}
