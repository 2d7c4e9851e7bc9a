//! Parallel runs of one scenario with several seeds.

/// Number of threads that the seeds of one test are divided among.
const THREADS: u64 = 4;

/// Runs a scenario with each seed below `seeds`, and returns the results in the
/// order of the seeds.
pub fn for_seeds<T: Send>(seeds: u64, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let mut results = std::thread::scope(|scope| {
        let run = &run;
        let part = |first: u64| {
            let part = (first..seeds).step_by(THREADS as usize);
            scope.spawn(move || part.map(|seed| (seed, run(seed))).collect::<Vec<_>>())
        };
        let threads: Vec<_> = (0..THREADS).map(part).collect();
        let results = threads.into_iter().map(|t| t.join());
        let results = results.map(|r| r.unwrap_or_else(|e| std::panic::resume_unwind(e)));
        results.flatten().collect::<Vec<_>>()
    });
    results.sort_by_key(|(seed, _)| *seed);
    results.into_iter().map(|(_, result)| result).collect()
}
