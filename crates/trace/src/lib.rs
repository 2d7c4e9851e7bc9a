//! Recorded traces of decisions and their replay.
