//! Request decisions of one host: server choice, admission, retries, at-most-once, drain.
