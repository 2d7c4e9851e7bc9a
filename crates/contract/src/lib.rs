//! Change tickets and what they promise: checks, acceptance and results.
