//! Rollout decisions: plan, guard, judge and merge.
